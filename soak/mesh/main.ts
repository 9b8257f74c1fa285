/** Command line of the mesh soak; prints its result as one JSON line. */
import {command, number, oneOf, option, run, string, type Type} from 'cmd-ts';
import {soakMesh} from './mesh_soak.js';
import {TROUBLES, type TroubleName} from './troubles.js';

const troubleNames = Object.keys(TROUBLES) as readonly TroubleName[];

const cli = command({
  name: 'soak-mesh',
  description: 'Plays one trouble on a whole mesh fleet on loopback.',
  args: {
    trouble: option({
      type: oneOf(troubleNames) as Type<string, TroubleName>,
      long: 'trouble',
      description: 'What happens to the fleet.',
    }),
    daemons: option({
      type: number,
      long: 'daemons',
      defaultValue: () => 24,
      description: 'Daemons, each with an instance and callers of its own.',
    }),
    slots: option({type: number, long: 'slots', defaultValue: () => 3}),
    workMs: option({
      type: number,
      long: 'work-ms',
      defaultValue: () => 300,
      description: 'How long a request takes, in milliseconds.',
    }),
    requestsPerS: option({
      type: number,
      long: 'rate',
      defaultValue: () => 4,
      description: 'Requests per second to each daemon.',
    }),
    seconds: option({
      type: number,
      long: 'seconds',
      defaultValue: () => 40,
      description: 'Seconds that the callers go on after the trouble.',
    }),
    folder: option({
      type: string,
      long: 'folder',
      description: 'Where logs and settings of the daemons are kept.',
    }),
  },
  handler: async options => {
    const result = await soakMesh(options);
    process.stdout.write(`${JSON.stringify(result)}\n`);
  },
});

await run(cli, process.argv.slice(2));
