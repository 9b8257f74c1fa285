/** `check`: names every fault of a settings file or a sheet. */
import {readFileSync} from 'node:fs';
import {command, positional, string} from 'cmd-ts';
import {parseSheet} from '../configuration/sheet.js';
import {Failure, reasonOf} from '../errors/failure.js';
import {loadSettings} from '../settings/load.js';

/** The command itself. */
export const check = command({
  name: 'check',
  description: 'Check a settings file (.json) or a sheet; changes nothing.',
  args: {file: positional({type: string, displayName: 'FILE'})},
  handler: async ({file}) => {
    if (file.endsWith('.json')) loadSettings(file);
    else await parseSheet(readSheet(file));
    process.stdout.write(`${file}: no faults\n`);
  },
});

function readSheet(file: string): Buffer {
  try {
    return readFileSync(file);
  } catch (err) {
    throw new Failure('usage', {reason: reasonOf(err)}, err);
  }
}
