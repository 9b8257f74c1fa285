/**
 * The router: receives callers' requests, determines route and customer,
 * applies admission control by the customer's rate, and sends each request to
 * a gate (which runs it at an instance of its VM). A request that certainly
 * did not run may be sent to another gate; one that may have run is repeated
 * only if it is idempotent.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer} from '../configuration/records.js';
import type {Tables} from '../configuration/tables.js';
import {reasonOf} from '../errors/failure.js';
import type {Answered, NotRun, Outcome, Unknown, Work} from '../gate/work.js';
import {discardRest} from '../http/discard_rest.js';
import type {Claims} from '../idempotency/claims.js';
import {sendBody} from '../http/send_body.js';
import type {Logger} from '../log/logger.js';
import type {Metrics} from '../metrics/metrics.js';
import type {RateLimiter, RateToken} from '../rates/limiter.js';
import type {BurnCounter} from '../report/counter.js';
import {
  verdictOfOutcome,
  verdictOfRefusal,
  type Verdict,
} from '../report/verdict.js';
import {decideAccess, type Denied, type Granted} from './access.js';
import {attempt} from './attempts.js';
import type {Backups} from './backups.js';
import type {Gates} from './gates.js';
import {GuardedToken} from './guarded_token.js';
import {carriesKey, keyOf, returnedHeaders} from './headers.js';
import {settlementOf, wantedClaim} from './keyed.js';
import {receiveBody} from './receive.js';
import {refuse, type RefusalDetail, type RefusalName} from './refusals.js';
import {isServable, targetOf} from './target.js';
import {makeWork} from './work_maker.js';

/** Options of {@link Router}. */
export interface RouterOptions {
  readonly tables: () => Tables;
  /** False while a withdrawn API key may still be valid in the tables. */
  readonly areKeysFresh: () => boolean;
  readonly limiter: RateLimiter;
  readonly gates: Gates;
  readonly backups: Backups;
  readonly claims: Claims;
  /** Counts requests by their effect on the service level. */
  readonly burn: Pick<BurnCounter, 'count'>;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** The refusal for a caller if the last attempt brought no answer. */
const REFUSAL_OF: Readonly<Record<(NotRun | Unknown)['reason'], RefusalName>> =
  {
    'no-instance': 'no-instance',
    busy: 'busy',
    draining: 'busy',
    'connect-failed': 'no-instance',
    deadline: 'deadline',
    cancelled: 'busy',
    'token-expired': 'busy',
    'connection-lost': 'connection-lost',
    timeout: 'timeout',
  };

const RETRY_AFTER_MS = 1000;

/** The state of one request while it is served. */
interface Visit {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly requestId: string;
  /** Monotonic clock, milliseconds. */
  readonly arrivedAtMs: number;
  readonly refuse: (name: RefusalName, detail?: RefusalDetail) => void;
}

/** The router of one daemon. */
export class Router {
  readonly #options: RouterOptions;
  #leaving = false;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Makes every answer from now on close its connection. */
  leave(): void {
    this.#leaving = true;
  }

  /** Serves one caller's request; never throws. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = requestIdOf(req);
    const visit: Visit = {
      req,
      res,
      requestId,
      arrivedAtMs: performance.now(),
      refuse: (name, detail) => refuse(res, name, {requestId, ...detail}),
    };
    if (this.#leaving) res.setHeader('connection', 'close');
    try {
      await this.#serve(visit);
    } catch (err) {
      this.#options.log.error(`Request ${requestId} failed: ${reasonOf(err)}.`);
      if (res.headersSent) res.destroy();
      else visit.refuse('internal');
    }
    discardRest(req);
  }

  async #serve(visit: Visit): Promise<void> {
    const {req, arrivedAtMs} = visit;
    if (!isServable(req)) return visit.refuse('bad-request');
    const access = this.#access(req);
    if (!access.granted) return this.#deny(visit, access);
    const {route, customer} = access;
    const deadlineAtMs = arrivedAtMs + route.deadlineMs;
    const received = await receiveBody(req, deadlineAtMs);
    if ('failure' in received) return visit.refuse(received.failure);
    // The API key may have been withdrawn while a slow body was received.
    const still = received.body ? this.#access(req) : access;
    if (!still.granted) return this.#deny(visit, still);
    const decidedBy = this.#options.tables();
    const admission = customer && (await this.#options.limiter.admit(customer));
    if (admission && !admission.admitted) {
      const {reason, retryAfterMs} = admission;
      this.#count(access, reason, verdictOfRefusal(reason));
      return visit.refuse(reason, {retryAfterMs});
    }
    const key = keyOf(req);
    const {requestId, res} = visit;
    const {body} = received;
    const token = admission && this.#guard(admission.token, req, decidedBy);
    const detail = {requestId, route, customer, key, body, deadlineAtMs, token};
    await this.#run(visit, makeWork(req, res, detail), access);
  }

  #access(req: IncomingMessage): Granted | Denied {
    // This call may bring a newer revision into force, so the tables are read
    // after it.
    const areKeysFresh = this.#options.areKeysFresh();
    const tables = this.#options.tables();
    const refused = (refusal: RefusalName) => {
      return {granted: false, refusal} as const;
    };
    if (tables.revision === 0) return refused('not-ready');
    const target = targetOf(req);
    const key = keyOf(req);
    if (!target || carriesKey(req.url ?? '', key)) {
      return refused('bad-request');
    }
    const {host, path} = target;
    return decideAccess(tables, {host, path, key}, areKeysFresh);
  }

  /**
   * Wraps a token so that access is checked again before the request starts.
   * Tables are immutable: as long as they are the same and the keys are fresh,
   * the decision stays the same.
   */
  #guard(token: RateToken, req: IncomingMessage, decidedBy: Tables): RateToken {
    const {areKeysFresh, tables} = this.#options;
    return new GuardedToken(token, () => {
      const isSame = areKeysFresh() && tables() === decidedBy;
      return isSame || this.#access(req).granted;
    });
  }

  #deny(visit: Visit, {refusal}: Denied): void {
    const isStale = refusal === 'keys-stale';
    visit.refuse(refusal, isStale ? {retryAfterMs: RETRY_AFTER_MS} : undefined);
  }

  /** Claims the idempotency key if there is one, runs the work, and answers. */
  async #run(visit: Visit, work: Work, access: Granted): Promise<void> {
    const {customer} = access;
    const wanted = wantedClaim(visit.req, work, access);
    if (wanted === 'invalid') {
      work.token?.giveBack();
      return visit.refuse('bad-request');
    }
    const {claims} = this.#options;
    const claim = wanted && (await claims.claim(wanted.scope, wanted.key));
    if (claim && claim.verdict !== 'run') {
      work.token?.giveBack();
      this.#count(
        access,
        `key-${claim.verdict}`,
        claim.verdict === 'seen' ? 'repeated' : 'refused',
      );
      if (claim.verdict === 'unsure') {
        const {retryAfterMs} = claim;
        return visit.refuse('key-unsure', {retryAfterMs});
      }
      return visit.refuse('key-reused', {first: claim.first});
    }
    const outcome = await this.#attempt(work, customer).catch(
      (err: unknown) => {
        claim?.settle('unknown');
        throw err;
      },
    );
    if (outcome.kind === 'not-run') work.token?.giveBack();
    claim?.settle(settlementOf(outcome));
    this.#count(access, outcome.kind, this.#verdictOf(visit, access, outcome));
    // The API key may have been withdrawn while the request was queued.
    const now = outcome.kind === 'not-run' ? this.#access(visit.req) : access;
    if (!now.granted) return this.#deny(visit, now);
    await this.#finish(visit, outcome);
  }

  #attempt(work: Work, customer: Customer | undefined): Promise<Outcome> {
    const {gates, limiter, backups} = this.#options;
    const draw = async (): Promise<RateToken | undefined> => {
      const admission = customer && (await limiter.admit(customer));
      return admission?.admitted ? admission.token : undefined;
    };
    const next = (tried: ReadonlySet<string>) => gates.next(work, tried);
    return attempt(work, {next, draw, backups});
  }

  async #finish(visit: Visit, outcome: Outcome): Promise<void> {
    if (outcome.kind === 'answered') return this.#answer(visit, outcome);
    if (visit.res.destroyed) return;
    const retryAfterMs =
      outcome.kind === 'not-run'
        ? (outcome.retryAfterMs ?? RETRY_AFTER_MS)
        : undefined;
    visit.refuse(REFUSAL_OF[outcome.reason], {retryAfterMs});
  }

  async #answer({res}: Visit, answer: Answered): Promise<void> {
    try {
      if (this.#leaving) res.setHeader('connection', 'close');
      res.writeHead(answer.status, [...returnedHeaders(answer.headers)]);
      await sendBody(answer.body, res);
    } catch {
      answer.body.destroy();
      res.destroy();
    }
  }

  #verdictOf(visit: Visit, {route}: Granted, outcome: Outcome): Verdict {
    const elapsedMs = performance.now() - visit.arrivedAtMs;
    const service = this.#options.tables().service(route.service);
    const objectiveMs = service?.objectiveLatencyMs ?? Infinity;
    return verdictOfOutcome(outcome, elapsedMs, objectiveMs);
  }

  #count(access: Granted, outcome: string, verdict: Verdict): void {
    const {service} = access.route;
    const customer = access.customer?.id ?? 'open';
    this.#options.metrics.count('requests', {service, customer, outcome});
    this.#options.burn.count(service, customer, verdict);
  }
}

function requestIdOf(req: IncomingMessage): string {
  const given = req.headers['x-request-id'];
  const usable = typeof given === 'string' && /^[\w.:-]{1,128}$/.test(given);
  return usable ? given : randomUUID();
}
