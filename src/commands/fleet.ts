/** `status`, `audit` and `drain`: looks at the fleet, stops a daemon. */
import {command, number, option} from 'cmd-ts';
import {AdministrationClient} from './administration_client.js';
import {administrationOptions, jsonFlag} from './options.js';
import {alignRows, cellOf, print, printJson} from './output.js';

type Fields = Readonly<Record<string, unknown>>;

const MEMBER_COLUMNS = ['id', 'region', 'failureDomain', 'state', 'slots'];
const AUDIT_COLUMNS = ['revision', 'at', 'by', 'action', 'outcome', 'changeId'];

function tableOf(columns: readonly string[], items: readonly Fields[]): string {
  const rows = items.map(item => columns.map(c => cellOf(item[c])));
  return alignRows(columns, rows);
}

/** Shows a daemon's view of the fleet. */
export const status = command({
  name: 'status',
  description: 'Show how one daemon sees the fleet.',
  args: {...administrationOptions, json: jsonFlag},
  handler: async args => {
    const client = new AdministrationClient(args);
    const {body} = await client.call({method: 'GET', path: '/v1/status'});
    if (args.json) return printJson(body);
    const {self, members, ...rest} = body;
    const id = (self as Fields)['id'];
    const rows = Object.entries(rest).map(([k, v]) => [k, cellOf(v)]);
    print(alignRows(['daemon', cellOf(id)], rows));
    print('');
    print(tableOf(MEMBER_COLUMNS, members as readonly Fields[]));
  },
});

/** Shows who changed the configuration. */
export const audit = command({
  name: 'audit',
  description: 'Show the newest changes of the configuration.',
  args: {
    limit: option({long: 'limit', type: number, defaultValue: () => 20}),
    ...administrationOptions,
    json: jsonFlag,
  },
  handler: async args => {
    const client = new AdministrationClient(args);
    const path = `/v1/audit?limit=${args.limit}`;
    const {body} = await client.call({method: 'GET', path});
    const entries = body['entries'] as readonly Fields[];
    if (args.json) return printJson(entries);
    print(tableOf(AUDIT_COLUMNS, entries));
  },
});

/** Begins a planned stop. */
export const drain = command({
  name: 'drain',
  description: 'Stop a daemon gracefully: it finishes what is in flight.',
  args: {...administrationOptions},
  handler: async args => {
    const client = new AdministrationClient(args);
    await client.call({method: 'POST', path: '/v1/drain'});
    print('draining');
  },
});
