/**
 * Customers' keys over HTTP. A key is shown once, in the answer that issues
 * it; only its digest is kept. Several keys of a customer may be valid at
 * once, so that they can be rotated.
 */
import {createHash, randomBytes} from 'node:crypto';
import type {ServerResponse} from 'node:http';
import type {PolkaRequest} from 'polka';
import {z} from 'zod';
import type {ChangeAcceptor} from '../configuration/change_acceptor.js';
import {issueKey, keysOf, removeRecord} from '../configuration/edits.js';
import type {LocalConfiguration} from '../configuration/local_configuration.js';
import {keySchema, type Key} from '../configuration/records.js';
import {keyIdOf} from '../configuration/packed_records.js';
import {Failure} from '../errors/failure.js';
import {parseObject, readBytes, sendJson} from './answers.js';
import {identify, sendAccepted} from './changes.js';
import type {Credential} from './credentials.js';
import {pageOf} from './records_api.js';

/** Options of {@link KeysApi}. */
export interface KeysApiOptions {
  readonly keeper: LocalConfiguration;
  readonly acceptance: ChangeAcceptor;
}

const MAX_BODY_BYTES = 4096;
const KEY_BYTES = 24;

/** `digest` is of a key that the client made itself and never sends. */
const issueSchema = z.strictObject({
  digest: keySchema.shape.digest.optional(),
  expiresAt: keySchema.shape.expiresAt,
});

/** A new key as its customer is given it. */
export function makeKey(): string {
  return `cc_${randomBytes(KEY_BYTES).toString('base64url')}`;
}

/** SHA-256 of a text, hexadecimal. */
export function sha256Of(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Handlers of keys. */
export class KeysApi {
  readonly #options: KeysApiOptions;

  constructor(options: KeysApiOptions) {
    this.#options = options;
  }

  list(req: PolkaRequest, res: ServerResponse): void {
    const state = this.#options.keeper.state();
    const keys = keysOf(state, String(req.params['id']));
    const {items, next} = pageOf(keys, req);
    const shown = items.map(({id, customer, expiresAt}) => {
      return {id, customer, expiresAt};
    });
    sendJson(res, 200, {revision: state.revision, items: shown, next});
  }

  async issue(
    req: PolkaRequest,
    res: ServerResponse,
    {name}: Credential,
  ): Promise<void> {
    const customer = String(req.params['id']);
    const bytes = await readBytes(req, MAX_BODY_BYTES);
    const asked = parseIssue(parseObject(bytes, `key of ${customer}`));
    const identity = identify(req, bytes);
    const made = asked.digest === undefined ? makeKey() : undefined;
    const digest = asked.digest ?? sha256Of(made ?? '');
    const {expiresAt} = asked;
    const id = keyIdOf(digest);
    const key: Key = {kind: 'key', id, customer, digest, expiresAt};
    const accepted = await this.#options.acceptance.accept({
      ...identity,
      by: name,
      action: `POST key/${id} of customer/${customer}`,
      edit: issueKey(key),
      retryOnConflict: true,
    });
    if (accepted.repeated && made !== undefined) {
      return sendAccepted(res, identity, accepted, {customer});
    }
    sendAccepted(res, identity, accepted, {
      id,
      customer,
      expiresAt,
      key: made,
    });
  }

  async withdraw(
    req: PolkaRequest,
    res: ServerResponse,
    {name}: Credential,
  ): Promise<void> {
    const id = String(req.params['id']);
    const identity = identify(req, '');
    const accepted = await this.#options.acceptance.accept({
      ...identity,
      by: name,
      action: `DELETE key/${id}`,
      edit: removeRecord('key', id, {}),
      retryOnConflict: true,
    });
    sendAccepted(res, identity, accepted, {id});
  }
}

function parseIssue(value: unknown): z.infer<typeof issueSchema> {
  const result = issueSchema.safeParse(value);
  if (result.success) return result.data;
  const reason = result.error.issues
    .map(issue => `${issue.path.join('.')}: ${issue.message}`)
    .join('; ');
  throw new Failure('recordInvalid', {record: 'key', reason});
}
