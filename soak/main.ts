/** Command line of the soak; prints one JSON line for each seed. */
import {command, number, option, optional, run, string} from 'cmd-ts';
import {soak} from './soak.js';

const cli = command({
  name: 'soak',
  description: 'Strikes a fleet on loopback with seeded faults.',
  args: {
    seed: option({type: number, long: 'seed', description: 'First seed.'}),
    seeds: option({
      type: number,
      long: 'seeds',
      defaultValue: () => 1,
      description: 'Seeds that are played, one after the other.',
    }),
    seconds: option({
      type: number,
      long: 'seconds',
      defaultValue: () => 30,
      description: 'Seconds in which faults begin.',
    }),
    daemons: option({
      type: number,
      long: 'daemons',
      defaultValue: () => 3,
      description: 'Daemons, each with two instances.',
    }),
    mutant: option({
      type: optional(string),
      long: 'mutant',
      description: 'A mutant of dist/mutants that all daemons run.',
    }),
  },
  handler: async ({seed, seeds, seconds, daemons, mutant}) => {
    const numbers = Array.from({length: seeds}, (_, i) => seed + i);
    for (const each of numbers) {
      const result = await soak(each, {daemons, seconds, mutant});
      process.stdout.write(`${JSON.stringify(result)}\n`);
      if (result.brokenRules.length > 0) process.exitCode = 1;
    }
  },
});

await run(cli, process.argv.slice(2));
