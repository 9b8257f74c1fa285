/** `customer`, `service` and `route`: lists, shows, sets, removes records. */
import {
  command,
  flag,
  option,
  optional,
  positional,
  restPositionals,
  string,
  subcommands,
} from 'cmd-ts';
import {KIND_OF_PATH, type RecordsPath} from '../admin/records_api.js';
import {Failure} from '../errors/failure.js';
import {AdministrationClient} from './administration_client.js';
import {administrationOptions, jsonFlag} from './options.js';
import {alignRows, cellOf, print, printJson} from './output.js';

type Fields = Readonly<Record<string, unknown>>;

/** The columns that a list shows. */
const COLUMNS: Readonly<Record<RecordsPath, readonly string[]>> = {
  customers: ['id', 'name', 'ratePerSecond', 'burst'],
  services: ['id', 'floor', 'objectiveSuccess', 'objectiveLatencyMs'],
  routes: ['id', 'host', 'path', 'service', 'access', 'customers'],
};

const LISTS: ReadonlySet<string> = new Set(['customers']);
const NUMBERS: ReadonlySet<string> = new Set([
  'ratePerSecond',
  'burst',
  'floor',
  'objectiveSuccess',
  'objectiveLatencyMs',
  'deadlineMs',
]);
const PAGE = 1000;

const etagOption = option({
  long: 'etag',
  type: optional(string),
  description: 'Refuse unless the record still has this ETag.',
});

function makeList(path: RecordsPath) {
  return command({
    name: 'list',
    description: `List ${path}.`,
    args: {...administrationOptions, json: jsonFlag},
    handler: async args => {
      const items = await readAll(new AdministrationClient(args), path);
      if (args.json) return printJson(items);
      const columns = COLUMNS[path];
      const rows = items.map(item => columns.map(c => cellOf(item[c])));
      print(alignRows(columns, rows));
    },
  });
}

async function readAll(
  client: AdministrationClient,
  path: RecordsPath,
): Promise<readonly Fields[]> {
  const items: Fields[] = [];
  let after: unknown = '';
  while (typeof after === 'string') {
    const query = `limit=${PAGE}&after=${encodeURIComponent(after)}`;
    const call = {method: 'GET', path: `/v1/${path}?${query}`} as const;
    const {body} = await client.call(call);
    items.push(...(body['items'] as readonly Fields[]));
    after = body['next'];
  }
  return items;
}

function makeShow(path: RecordsPath) {
  return command({
    name: 'show',
    description: `Show one of the ${path}, with its ETag.`,
    args: {
      id: positional({type: string, displayName: 'ID'}),
      ...administrationOptions,
      json: jsonFlag,
    },
    handler: async args => {
      const client = new AdministrationClient(args);
      const call = {method: 'GET', path: pathOf(path, args.id)} as const;
      const {body, etag} = await client.call(call);
      if (args.json) return printJson({...body, etag});
      const rows = Object.entries({...body, etag});
      print(
        alignRows(
          ['field', 'value'],
          rows.map(([f, v]) => [f, cellOf(v)]),
        ),
      );
    },
  });
}

function makeSet(path: RecordsPath) {
  return command({
    name: 'set',
    description: 'Create a record, or change the fields that are given.',
    args: {
      id: positional({type: string, displayName: 'ID'}),
      fields: restPositionals({type: string, displayName: 'FIELD=VALUE'}),
      etag: etagOption,
      ...administrationOptions,
    },
    handler: async args => {
      const client = new AdministrationClient(args);
      const target = pathOf(path, args.id);
      const last = await client.find(target);
      const record = {...last?.body, ...parseFields(args.fields)};
      const match = args.etag ?? last?.etag;
      const {body} = await client.call({
        method: 'PUT',
        path: target,
        body: JSON.stringify(record),
        headers: match ? {'if-match': match} : {'if-none-match': '*'},
      });
      printAccepted(body);
    },
  });
}

function makeRemove(path: RecordsPath) {
  return command({
    name: 'remove',
    description: 'Remove a record.',
    args: {
      id: positional({type: string, displayName: 'ID'}),
      etag: etagOption,
      force: flag({long: 'force', description: 'Whatever its state is.'}),
      ...administrationOptions,
    },
    handler: async args => {
      const client = new AdministrationClient(args);
      const target = pathOf(path, args.id);
      const shown = await client.call({method: 'GET', path: target});
      const match = args.force ? '*' : (args.etag ?? shown.etag ?? '*');
      const headers = {'if-match': match};
      const call = {method: 'DELETE', path: target, headers} as const;
      printAccepted((await client.call(call)).body);
    },
  });
}

/** Prints how a change ended. */
export function printAccepted(body: Fields): void {
  print(`revision ${cellOf(body['revision'])}: ${cellOf(body['detail'])}`);
}

function pathOf(path: RecordsPath, id: string): string {
  return `/v1/${path}/${encodeURIComponent(id)}`;
}

function parseFields(fields: readonly string[]): Fields {
  const entries = fields.map(field => {
    const at = field.indexOf('=');
    if (at < 1) throw new Failure('usage', {reason: `${field}: FIELD=VALUE`});
    const name = field.slice(0, at);
    return [name, parseValue(name, field.slice(at + 1))] as const;
  });
  return Object.fromEntries(entries);
}

function parseValue(name: string, text: string): unknown {
  if (LISTS.has(name)) return text.split(',').filter(item => item !== '');
  return NUMBERS.has(name) && text !== '' ? Number(text) : text;
}

function makeCommands(path: RecordsPath) {
  return subcommands({
    name: KIND_OF_PATH[path],
    description: `Read and change ${path}.`,
    cmds: {
      list: makeList(path),
      show: makeShow(path),
      set: makeSet(path),
      remove: makeRemove(path),
    },
  });
}

/** The commands themselves. */
export const customer = makeCommands('customers');
export const service = makeCommands('services');
export const route = makeCommands('routes');
