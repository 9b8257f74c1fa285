/** `apply`: brings the configuration to what a sheet says. */
import {readFileSync} from 'node:fs';
import {command, positional, string} from 'cmd-ts';
import {mergeSheet, parseSheet} from '../configuration/sheet.js';
import {readSnapshot, writeSnapshot} from '../configuration/snapshot.js';
import {Failure} from '../errors/failure.js';
import {settingsOption, withStore} from './store_options.js';

/** The command itself. */
export const apply = command({
  name: 'apply',
  description: 'Apply a sheet, whole or not at all.',
  args: {
    sheet: positional({type: string, displayName: 'SHEET'}),
    settings: settingsOption,
  },
  handler: async args => {
    const records = parseSheet(readFileSync(args.sheet), args.sheet);
    await withStore(args.settings, async store => {
      const last = await readSnapshot(store);
      const merged = mergeSheet(last.snapshot.records, records);
      const written = await writeSnapshot(store, last, merged);
      if (!written) {
        const reason = 'the configuration changed meanwhile';
        throw new Failure('writeConflict', {record: args.sheet, reason});
      }
      process.stdout.write(`revision ${written.revision} accepted\n`);
    });
  },
});
