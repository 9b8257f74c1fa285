/** Reads and checks a settings file; a failure lists all faults at once. */
import {checkSettings, readSettings} from './read.js';
import {settingsSchema, type Settings} from './schema.js';

/** Loads the settings in `file`; throws a `Failure` that lists all faults. */
export function loadSettings(file: string): Settings {
  return parseSettings(readSettings(file), file);
}

/** Checks settings that were already read; messages contain `file`. */
export function parseSettings(value: unknown, file: string): Settings {
  return checkSettings(settingsSchema, value, file);
}
