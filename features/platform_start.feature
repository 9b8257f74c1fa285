Feature: The start of a mesh daemon
  All daemons of a fleet may start at the same moment on little processor time,
  of which loading and compiling the program takes most.

  # Guards against a start that takes so long, because modules that no daemon
  # uses are loaded, that callers come before the fleet has connected.
  Scenario: The program of the platform contains only packages that it uses
    When the packages in the program of the platform are listed
    Then these are the packages, with at most so many kilobytes:
      | @arr/every    |   1 |
      | @polka/url    |   1 |
      | consola       |   8 |
      | eventemitter3 |   5 |
      | matchit       |   3 |
      | msgpackr      |  40 |
      | p-queue       |   8 |
      | p-timeout     |   3 |
      | polka         |   4 |
      | prom-client   |  20 |
      | trouter       |   2 |
      | undici        | 310 |
      | ws            |  60 |
      | zod           | 110 |

  Scenario Outline: The program refuses the command line <arguments>
    When the program of a mesh daemon is started with <arguments>
    Then it ends with exit code <code> and prints <text>

    Examples:
      | arguments                      | code | text                             |
      | nothing                        | 1    | no value provided for --settings |
      | --setings x                    | 1    | Unknown option '--setings'       |
      | --settings /no/such/file       | 3    | ENOENT                           |
      | --settings /no/such/file extra | 1    | Unexpected argument 'extra'      |
      | --help                         | 0    | --settings FILE                  |
