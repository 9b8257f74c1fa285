/** `check`: names every fault of a settings file or a sheet. */
import {readFileSync} from 'node:fs';
import {command, positional, string} from 'cmd-ts';
import {parseSheet} from '../configuration/sheet.js';
import {loadSettings} from '../settings/load.js';

/** The command itself. */
export const check = command({
  name: 'check',
  description: 'Check a settings file (.json) or a sheet (.csv).',
  args: {file: positional({type: string, displayName: 'FILE'})},
  handler: ({file}) => {
    if (file.endsWith('.json')) loadSettings(file);
    else parseSheet(readFileSync(file), file);
    process.stdout.write(`${file}: no faults\n`);
  },
});
