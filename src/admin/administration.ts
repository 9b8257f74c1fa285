/**
 * The administration API of a daemon: JSON over HTTP on its own port, with
 * its own credentials. Every daemon serves all of it. Errors are problem
 * documents (RFC 9457).
 */
import type {Server, ServerResponse} from 'node:http';
import polka, {type Polka, type PolkaRequest} from 'polka';
import type {ChangeAcceptor} from '../configuration/change_acceptor.js';
import type {LocalConfiguration} from '../configuration/local_configuration.js';
import type {Logger} from '../log/logger.js';
import type {Membership} from '../member/membership.js';
import type {Store} from '../platform/store.js';
import {sendAudit} from './audit_api.js';
import {sendJson, sendProblem} from './answers.js';
import {authorize, type Credential, type Role} from './credentials.js';
import {KeysApi} from './keys_api.js';
import {KIND_OF_PATH, RecordsApi, type RecordsPath} from './records_api.js';
import {SheetApi} from './sheet_api.js';
import type {BurnDocument} from '../report/collect.js';

/** Options of {@link Administration}. */
export interface AdministrationOptions {
  readonly server: Server;
  readonly credentials: readonly Credential[];
  readonly keeper: LocalConfiguration;
  readonly acceptance: ChangeAcceptor;
  readonly membership: Membership;
  readonly store: Store;
  readonly log: Logger;
  readonly isReady: () => boolean;
  /** What this daemon counted for the report. */
  readonly burn: () => BurnDocument;
  /** Parts that add to the status, by name. */
  readonly status: Readonly<Record<string, () => unknown>>;
  /** Begins a planned stop. */
  readonly onDrain: () => void;
}

type Answer = (
  req: PolkaRequest,
  res: ServerResponse,
  credential: Credential,
) => unknown;

/** Registers the API on a server. */
export class Administration {
  readonly #options: AdministrationOptions;

  constructor(options: AdministrationOptions) {
    this.#options = options;
    const app = polka()
      .get('/healthz', (_req, res) => sendJson(res, 200, {healthy: true}))
      .get('/readyz', (_req, res) => this.#readiness(res))
      .get(
        '/v1/status',
        this.#reader((_req, res) => this.#status(res)),
      )
      .get(
        '/v1/burn',
        this.#reader((_req, res) => sendJson(res, 200, options.burn())),
      )
      .get(
        '/v1/audit',
        this.#reader((q, s) => sendAudit(options.store, q, s)),
      )
      .post(
        '/v1/drain',
        this.#operator((_req, res) => this.#drain(res)),
      );
    this.#addRecords(app, new RecordsApi(options));
    this.#addKeys(app, new KeysApi(options));
    const sheets = new SheetApi(options);
    app.put(
      '/v1/sheet',
      this.#operator((q, s, c) => sheets.put(q, s, c)),
    );
    options.server.on('request', app.handler);
  }

  #addRecords(app: Polka, records: RecordsApi): void {
    const paths = Object.keys(KIND_OF_PATH) as RecordsPath[];
    paths.forEach(path => {
      const one = `/v1/${path}/:id`;
      app
        .get(
          `/v1/${path}`,
          this.#reader((q, s) => records.list(path, q, s)),
        )
        .get(
          one,
          this.#reader((q, s) => records.show(path, q, s)),
        )
        .put(
          one,
          this.#operator((q, s, c) => records.put(path, q, s, c)),
        )
        .delete(
          one,
          this.#operator((q, s, c) => records.remove(path, q, s, c)),
        );
    });
  }

  #addKeys(app: Polka, keys: KeysApi): void {
    const all = '/v1/customers/:id/keys';
    app
      .get(
        all,
        this.#reader((q, s) => keys.list(q, s)),
      )
      .post(
        all,
        this.#operator((q, s, c) => keys.issue(q, s, c)),
      )
      .delete(
        '/v1/keys/:id',
        this.#operator((q, s, c) => keys.withdraw(q, s, c)),
      );
  }

  #reader(answer: Answer) {
    return this.#guard('reader', answer);
  }

  #operator(answer: Answer) {
    return this.#guard('operator', answer);
  }

  /** Checks the credential first, and answers for whatever is thrown. */
  #guard(needed: Role, answer: Answer) {
    const {credentials, log} = this.#options;
    return async (req: PolkaRequest, res: ServerResponse) => {
      try {
        const credential = authorize(req, credentials, needed);
        await answer(req, res, credential);
      } catch (err) {
        sendProblem(res, err, log);
      }
    };
  }

  #readiness(res: ServerResponse): void {
    const ready = this.#options.isReady();
    sendJson(res, ready ? 200 : 503, {ready});
  }

  #status(res: ServerResponse): void {
    const {keeper, membership, status} = this.#options;
    const parts = Object.entries(status).map(([part, of]) => [part, of()]);
    sendJson(res, 200, {
      self: membership.self(),
      members: membership.members(),
      revision: keeper.tables().revision,
      ...Object.fromEntries(parts),
    });
  }

  #drain(res: ServerResponse): void {
    sendJson(res, 202, {draining: true});
    this.#options.onDrain();
  }
}
