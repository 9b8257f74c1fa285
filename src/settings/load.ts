/** Reads a settings file, checks all of it, and names every fault at once. */
import {readFileSync} from 'node:fs';
import {Failure, reasonOf} from '../errors/failure.js';
import {settingsSchema, type Settings} from './schema.js';

/** The settings in `file`; throws a `Failure` that lists every fault. */
export function loadSettings(file: string): Settings {
  return parseSettings(readJson(file), file);
}

/** Checks settings that were already read; `file` names them in messages. */
export function parseSettings(value: unknown, file: string): Settings {
  const result = settingsSchema.safeParse(value);
  if (result.success) return result.data;
  const faults = result.error.issues.map(
    issue => `${issue.path.join('.') || '(top level)'}: ${issue.message}`,
  );
  throw new Failure('settingsInvalid', {file, faults});
}

function readJson(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file, 'utf8'));
  } catch (err) {
    throw new Failure('settingsUnreadable', {file, reason: reasonOf(err)}, err);
  }
}
