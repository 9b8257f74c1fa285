/** Customers, services and routes over HTTP, one by one and in pages. */
import type {ServerResponse} from 'node:http';
import type {PolkaRequest} from 'polka';
import type {ChangeAcceptor} from '../configuration/change_acceptor.js';
import {putRecord, removeRecord} from '../configuration/edits.js';
import type {LocalConfiguration} from '../configuration/local_configuration.js';
import {
  recordSchema,
  type ConfigurationRecord,
} from '../configuration/records.js';
import {
  etagOf,
  findRecord,
  recordKey,
  recordsOf,
} from '../configuration/state.js';
import {Failure} from '../errors/failure.js';
import {parseObject, readBytes, sendJson} from './answers.js';
import {identify, preconditionOf, sendAccepted} from './changes.js';
import type {Credential} from './credentials.js';

/** Options of {@link RecordsApi}. */
export interface RecordsApiOptions {
  readonly keeper: LocalConfiguration;
  readonly acceptance: ChangeAcceptor;
}

/** Kinds that have paths of their own. */
export const KIND_OF_PATH = {
  customers: 'customer',
  services: 'service',
  routes: 'route',
} as const;

/** The first part of a path of records. */
export type RecordsPath = keyof typeof KIND_OF_PATH;

const MAX_BODY_BYTES = 262_144;
const DEFAULT_PAGE = 100;
const MAX_PAGE = 1000;

/** Handlers of one record or of a page of them. */
export class RecordsApi {
  readonly #options: RecordsApiOptions;

  constructor(options: RecordsApiOptions) {
    this.#options = options;
  }

  list(path: RecordsPath, req: PolkaRequest, res: ServerResponse): void {
    const state = this.#options.keeper.state();
    const {items, next} = pageOf(recordsOf(state, KIND_OF_PATH[path]), req);
    sendJson(res, 200, {revision: state.revision, items, next});
  }

  show(path: RecordsPath, req: PolkaRequest, res: ServerResponse): void {
    const kind = KIND_OF_PATH[path];
    const id = String(req.params['id']);
    const record = findRecord(this.#options.keeper.state(), kind, id);
    if (!record) {
      throw new Failure('recordMissing', {record: recordKey(kind, id)});
    }
    sendJson(res, 200, record, {etag: etagOf(record)});
  }

  async put(
    path: RecordsPath,
    req: PolkaRequest,
    res: ServerResponse,
    {name}: Credential,
  ): Promise<void> {
    const kind = KIND_OF_PATH[path];
    const id = String(req.params['id']);
    const key = recordKey(kind, id);
    const bytes = await readBytes(req, MAX_BODY_BYTES);
    const record = parseRecord({...parseObject(bytes, key), kind, id}, key);
    const identity = identify(req, bytes);
    const accepted = await this.#options.acceptance.accept({
      ...identity,
      by: name,
      action: `PUT ${key}`,
      edit: putRecord(record, preconditionOf(req)),
      retryOnConflict: true,
    });
    const etag = etagOf(record);
    sendAccepted(res, identity, accepted, {record}, {etag});
  }

  async remove(
    path: RecordsPath,
    req: PolkaRequest,
    res: ServerResponse,
    {name}: Credential,
  ): Promise<void> {
    const kind = KIND_OF_PATH[path];
    const id = String(req.params['id']);
    const identity = identify(req, '');
    const accepted = await this.#options.acceptance.accept({
      ...identity,
      by: name,
      action: `DELETE ${recordKey(kind, id)}`,
      edit: removeRecord(kind, id, preconditionOf(req)),
      retryOnConflict: true,
    });
    sendAccepted(res, identity, accepted);
  }
}

/** A page of records in order of their ids, after `?after=ID`. */
export function pageOf<Item extends {readonly id: string}>(
  all: readonly Item[],
  req: PolkaRequest,
): {readonly items: readonly Item[]; readonly next?: string} {
  const after = req.query['after'] ?? '';
  const asked = Number(req.query['limit'] ?? DEFAULT_PAGE);
  const limit = Math.min(Math.max(1, asked || DEFAULT_PAGE), MAX_PAGE);
  const later = all
    .filter(item => item.id > after)
    .toSorted((a, b) => (a.id < b.id ? -1 : 1));
  const items = later.slice(0, limit);
  const next = later.length > limit ? items.at(-1)?.id : undefined;
  return {items, next};
}

function parseRecord(value: unknown, record: string): ConfigurationRecord {
  const result = recordSchema.safeParse(value);
  if (result.success) return result.data;
  const reason = result.error.issues
    .map(issue => `${issue.path.join('.') || '(record)'}: ${issue.message}`)
    .join('; ');
  throw new Failure('recordInvalid', {record, reason});
}
