/** Options of the commands that work on the store directly. */
import {option, string} from 'cmd-ts';
import {HttpStore} from '../platform/http_store.js';
import {loadSettings} from '../settings/load.js';

/** `--settings FILE`: where the addresses of the store come from. */
export const settingsOption = option({
  long: 'settings',
  type: string,
  description: 'The settings file (JSON).',
});

/** Runs `task` with a store and closes it afterwards. */
export async function withStore<Result>(
  settingsFile: string,
  task: (store: HttpStore) => Promise<Result>,
): Promise<Result> {
  const store = new HttpStore(loadSettings(settingsFile).store);
  try {
    return await task(store);
  } finally {
    await store.close();
  }
}
