/** `key`: lists, issues and withdraws customers' keys. */
import {
  command,
  option,
  optional,
  positional,
  string,
  subcommands,
} from 'cmd-ts';
import {makeKey, sha256Of} from '../admin/keys_api.js';
import {Failure} from '../errors/failure.js';
import {AdministrationClient} from './administration_client.js';
import {administrationOptions, jsonFlag} from './options.js';
import {alignRows, cellOf, print, printJson} from './output.js';
import {printAccepted} from './records.js';

interface ShownKey {
  readonly id: string;
  readonly customer: string;
  readonly expiresAt?: number;
}

const customerArgument = positional({type: string, displayName: 'CUSTOMER'});

const list = command({
  name: 'list',
  description: "List a customer's keys by id; the keys are not kept.",
  args: {customer: customerArgument, ...administrationOptions, json: jsonFlag},
  handler: async args => {
    const client = new AdministrationClient(args);
    const path = `/v1/customers/${encodeURIComponent(args.customer)}/keys`;
    const {body} = await client.call({method: 'GET', path});
    const keys = body['items'] as readonly ShownKey[];
    if (args.json) return printJson(keys);
    const rows = keys.map(key => [key.id, timeOf(key.expiresAt)]);
    print(alignRows(['id', 'expires'], rows));
  },
});

/** The key is made here and only its digest is sent. */
const issue = command({
  name: 'issue',
  description: 'Issue a key; it is printed once and never again.',
  args: {
    customer: customerArgument,
    expires: option({
      long: 'expires',
      type: optional(string),
      description: 'When it ends, as 2031-01-31T18:00:00Z; never by default.',
    }),
    ...administrationOptions,
  },
  handler: async args => {
    const client = new AdministrationClient(args);
    const key = makeKey();
    const expiresAt = parseTime(args.expires);
    const {body} = await client.call({
      method: 'POST',
      path: `/v1/customers/${encodeURIComponent(args.customer)}/keys`,
      body: JSON.stringify({digest: sha256Of(key), expiresAt}),
    });
    const {id, customer, revision, assured, detail} = body;
    print(JSON.stringify({id, customer, key, revision, assured, detail}));
  },
});

const withdraw = command({
  name: 'withdraw',
  description: 'Withdraw a key by its id.',
  args: {
    id: positional({type: string, displayName: 'KEY_ID'}),
    ...administrationOptions,
  },
  handler: async args => {
    const client = new AdministrationClient(args);
    const path = `/v1/keys/${encodeURIComponent(args.id)}`;
    printAccepted((await client.call({method: 'DELETE', path})).body);
  },
});

function parseTime(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const timeMs = Date.parse(text);
  if (Number.isFinite(timeMs)) return timeMs;
  throw new Failure('usage', {reason: `--expires: ${text} is not a time`});
}

function timeOf(timeMs: number | undefined): string {
  return timeMs === undefined
    ? cellOf(undefined)
    : new Date(timeMs).toISOString();
}

/** The command itself. */
export const key = subcommands({
  name: 'key',
  description: "Manage customers' keys.",
  cmds: {list, issue, withdraw},
});
