/** Reads a settings file, checks all of it, and names every fault at once. */
import {checkSettings, readSettings} from './read.js';
import {settingsSchema, type Settings} from './schema.js';

/** The settings in `file`; throws a `Failure` that lists every fault. */
export function loadSettings(file: string): Settings {
  return parseSettings(readSettings(file), file);
}

/** Checks settings that were already read; `file` names them in messages. */
export function parseSettings(value: unknown, file: string): Settings {
  return checkSettings(settingsSchema, value, file);
}
