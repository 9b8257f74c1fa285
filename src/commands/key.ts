/** `key`: issues and withdraws customers' keys. */
import {randomBytes, randomUUID} from 'node:crypto';
import {command, positional, string, subcommands} from 'cmd-ts';
import {EMPTY_STATE, type Edit} from '../configuration/state.js';
import {ChangeWriter} from '../configuration/writer.js';
import type {Store} from '../platform/store.js';
import {digestOf} from '../router/access.js';
import {settingsOption, withStore} from './store_options.js';

const KEY_BYTES = 24;

async function change(store: Store, edit: Edit, record: string) {
  return new ChangeWriter(store, () => EMPTY_STATE).write({
    changeId: randomUUID(),
    fingerprint: '',
    by: 'command line',
    action: record,
    edit: () => edit,
    retryRaces: true,
  });
}

const issue = command({
  name: 'issue',
  description: 'Issue a key; it is printed once and never again.',
  args: {
    customer: positional({type: string, displayName: 'CUSTOMER'}),
    settings: settingsOption,
  },
  handler: async ({customer, settings}) => {
    const id = randomUUID();
    const key = `cc_${randomBytes(KEY_BYTES).toString('base64url')}`;
    const digest = digestOf(key);
    const record = {kind: 'key', id, customer, digest} as const;
    await withStore(settings, store =>
      change(store, {put: [record], removed: []}, `key/${id}`),
    );
    process.stdout.write(`${JSON.stringify({id, customer, key})}\n`);
  },
});

const withdraw = command({
  name: 'withdraw',
  description: 'Withdraw a key by its id.',
  args: {
    id: positional({type: string, displayName: 'KEY_ID'}),
    settings: settingsOption,
  },
  handler: async ({id, settings}) => {
    await withStore(settings, store =>
      change(store, {put: [], removed: [`key/${id}`]}, `key/${id}`),
    );
    process.stdout.write(`key ${id} withdrawn\n`);
  },
});

/** The command itself. */
export const key = subcommands({
  name: 'key',
  description: "Manage customers' keys.",
  cmds: {issue, withdraw},
});
