/**
 * Command line of the mesh soak; prints its result as one JSON line. The exit
 * code is 1 if a rule was broken.
 */
import {
  command,
  flag,
  number,
  oneOf,
  option,
  run,
  string,
  type Type,
} from 'cmd-ts';
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
    uploadsPerS: option({
      type: number,
      long: 'uploads',
      defaultValue: () => 0,
      description: 'Uploads per second to each daemon.',
    }),
    uploadBytes: option({
      type: number,
      long: 'upload-bytes',
      defaultValue: () => 60_000,
      description: 'Mean size of the body of an upload.',
    }),
    maxUploadBytes: option({
      type: number,
      long: 'max-upload-bytes',
      defaultValue: () => 360_000,
      description: 'Largest body of an upload.',
    }),
    maxBodyBytes: option({
      type: number,
      long: 'max-body-bytes',
      defaultValue: () => 8_388_608,
      description: 'The limit for bodies in the configuration.',
    }),
    customers: option({
      type: number,
      long: 'customers',
      defaultValue: () => 0,
      description: 'Customers, each with a key; with 0, routes are public.',
    }),
    memoryMb: option({
      type: number,
      long: 'memory-mb',
      defaultValue: () => 250,
      description: 'Resident memory that no daemon may exceed, in megabytes.',
    }),
    maxDescriptors: option({
      type: number,
      long: 'descriptors',
      defaultValue: () => 4100,
      description: 'Descriptors that a daemon may open.',
    }),
    hasBusyStore: flag({
      long: 'busy-store',
      description: 'One process runs the store and all instances.',
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
    if (result.brokenRules.length > 0) process.exitCode = 1;
  },
});

await run(cli, process.argv.slice(2));
