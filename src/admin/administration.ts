/**
 * The administration API of a daemon: JSON over HTTP on its own port, with
 * its own credentials. Errors are problem documents (RFC 9457).
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import polka from 'polka';
import type {ConfigurationKeeper} from '../configuration/keeper.js';
import type {FleetAuthority} from '../member/fleet_authority.js';
import type {Membership} from '../member/membership.js';
import type {BurnDocument} from '../report/collect.js';
import type {Settings} from '../settings/schema.js';

/** Options of {@link Administration}. */
export interface AdministrationOptions {
  readonly server: Server;
  readonly credentials: Settings['administration']['credentials'];
  readonly keeper: ConfigurationKeeper;
  readonly membership: Membership;
  readonly authority: FleetAuthority;
  readonly isReady: () => boolean;
  /** What this daemon counted for the report. */
  readonly burn: () => BurnDocument;
}

type Credential = Settings['administration']['credentials'][number];

/** Registers the API on a server. */
export class Administration {
  readonly #options: AdministrationOptions;

  constructor(options: AdministrationOptions) {
    this.#options = options;
    const app = polka()
      .get('/healthz', (_req, res) => sendJson(res, 200, {healthy: true}))
      .get('/readyz', (_req, res) => this.#readiness(res))
      .get('/v1/status', (req, res) => this.#status(req, res))
      .get('/v1/burn', (req, res) => this.#burn(req, res));
    options.server.on('request', app.handler);
  }

  #readiness(res: ServerResponse): void {
    const ready = this.#options.isReady();
    sendJson(res, ready ? 200 : 503, {ready});
  }

  #status(req: IncomingMessage, res: ServerResponse): void {
    if (!this.#authenticate(req)) return sendProblem(res, 401, 'Unauthorized');
    const {keeper, membership, authority} = this.#options;
    sendJson(res, 200, {
      self: membership.self(),
      members: membership.members(),
      revision: keeper.tables().revision,
      generation: authority.generations.current()?.number ?? 0,
      vouched: authority.vouches.current() !== undefined,
    });
  }

  #burn(req: IncomingMessage, res: ServerResponse): void {
    if (!this.#authenticate(req)) return sendProblem(res, 401, 'Unauthorized');
    sendJson(res, 200, this.#options.burn());
  }

  #authenticate(req: IncomingMessage): Credential | undefined {
    const token = (req.headers.authorization ?? '').replace(/^Bearer /, '');
    const digest = createHash('sha256').update(token).digest();
    return this.#options.credentials.find(({tokenSha256}) =>
      timingSafeEqual(Buffer.from(tokenSha256, 'hex'), digest),
    );
  }
}

function sendJson(res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}

function sendProblem(res: ServerResponse, status: number, title: string): void {
  res.writeHead(status, {'content-type': 'application/problem+json'});
  res.end(JSON.stringify({type: 'about:blank', status, title}));
}
