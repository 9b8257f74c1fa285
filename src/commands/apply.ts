/** `apply`: brings the configuration to what a sheet says. */
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {command, positional, string} from 'cmd-ts';
import {mergeSheet, parseSheet} from '../configuration/sheet.js';
import {EMPTY_STATE} from '../configuration/state.js';
import {ChangeWriter} from '../configuration/writer.js';
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
      const made = await new ChangeWriter(store, () => EMPTY_STATE).write({
        changeId: randomUUID(),
        fingerprint: '',
        by: 'command line',
        action: `apply ${args.sheet}`,
        edit: state => mergeSheet(state, records),
        retryRaces: false,
      });
      process.stdout.write(`revision ${made.state.revision} accepted\n`);
    });
  },
});
