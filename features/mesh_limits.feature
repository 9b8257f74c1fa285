Feature: Limits for what callers send
  These policies need no network.

  # Guards against a daemon that holds more than its memory allows, or that has
  # less and less to give because a holder's bytes are never returned.
  Scenario: The memory budget is never exceeded and gets everything back
    Then after any sequence of reservations, growths and releases the budget holds

  # Guards against ordinary callers that are refused while many large uploads
  # are open and don't end.
  Scenario: A small body finds room beside any crowd of large ones
    Then a small body gets a grant beside any crowd of unfinished and kept bodies

  # Load: one upload of the largest legal size, two of 60 MB, 40 of 360 KB.
  Scenario Outline: <count> uploads of <bytes> bytes fit into <memory> MB
    Given the budget of a VM with <memory> MB
    Then <count> unfinished bodies of <bytes> bytes get a grant
    And one of them, of <bytes> bytes in chunks, can be joined

    Examples:
      | count | bytes    | memory |
      | 40    | 360000   | 250    |
      | 2     | 60000000 | 350    |
      | 1     | 67108864 | 250    |

  # Guards against bodies that stop short and stay open, and bodies that are
  # sent a byte at a time.
  Scenario Outline: A body of <bytes> bytes each <interval> ms is <verdict>
    Then a body that gets <bytes> bytes each <interval> ms is judged <verdict>

    Examples:
      | bytes | interval | verdict |
      | 2000  | 1000     | good    |
      | 65536 | 4500     | good    |
      | 65536 | 5500     | stalled |
      | 1     | 1000     | slow    |
      | 1000  | 1000     | slow    |

  # Guards against a body that is cut because the daemon itself didn't read it.
  Scenario: A body that waited for the daemon is judged from then on
    Then a body that the daemon didn't read for 60000 ms is judged good

  # Guards against a daemon that holds every response until its caller reads it.
  # Load: 60 unread responses of 8 MB with 150 MB; 4 fit.
  Scenario: Responses that nobody reads stay under the budget
    Given the responses of a VM with 150 MB
    Then of 60 unread responses of 8000000 bytes 4 are held and 56 are cut off
    And after 5000 ms a further one displaces the one that is longest unread

  # Guards against cutting off a caller that reads slowly but steadily.
  Scenario: A caller that reads is never cut off for another
    Given the responses of a VM with 150 MB
    Then after any sequence of responses and reads only unread ones are displaced, the longest unread first

  # Load: 64 callers that share a slow link, with 540 KB each.
  Scenario: Responses of many slow readers fit into the smallest budget
    Given the responses of a VM with 150 MB
    Then 64 responses of 540000 bytes are held

  # Guards against ordinary requests that get no response while large ones fill
  # the budget.
  Scenario: A small response finds room beside any crowd of large ones
    Then a small response is held beside any crowd of bodies and large responses

  # Guards against uploads that are refused as long as responses stay unread.
  Scenario: Unread responses give way to bodies
    Given the responses of a VM with 150 MB
    Then after 5000 ms a body of 8000000 bytes finds room in place of one of 4 unread responses

  # Guards against cutting off callers because the daemon itself was paused.
  Scenario: Responses that the daemon didn't write don't count as unread
    Given the responses of a VM with 150 MB
    Then after a pause of 60000 ms none of 4 responses is cut off for another
