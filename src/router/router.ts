/**
 * The router: receives callers' requests, determines route and customer,
 * applies admission control by the customer's rate, and sends each request to
 * a gate (which runs it at an instance of its VM). A request that certainly
 * did not run may be sent to another gate; one that may have run is repeated
 * only if it is idempotent.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer, Route} from '../configuration/records.js';
import type {Tables} from '../configuration/tables.js';
import {reasonOf} from '../errors/failure.js';
import type {Answered, NotRun, Outcome, Unknown, Work} from '../gate/work.js';
import {discardRequestBody} from '../http/discard_request_body.js';
import type {KeyClaimer} from '../idempotency/key_claimer.js';
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
import {decideAccess, type AccessDenied, type AccessGranted} from './access.js';
import {runWithRetries} from './retries.js';
import type {HedgedSender} from './hedged_sender.js';
import type {GateSelector} from './gate_selector.js';
import {GuardedToken} from './guarded_token.js';
import {containsKey, readApiKey, filterReturnedHeaders} from './headers.js';
import {settlementOf, readClaimRequest} from './claim_request.js';
import {receiveBody} from './receive_body.js';
import {refuse, type RefusalDetail, type RefusalName} from './refusals.js';
import {isSupported, parseTarget} from './request_target.js';
import {createWork} from './create_work.js';
import {StopDeadline} from './stop_deadline.js';

/** Options of {@link Router}. */
export interface RouterOptions {
  readonly tables: () => Tables;
  /** False while a withdrawn API key may still be valid in the tables. */
  readonly areKeysFresh: () => boolean;
  readonly limiter: RateLimiter;
  readonly gates: GateSelector;
  readonly hedgedSender: HedgedSender;
  readonly keyClaimer: KeyClaimer;
  /** Counts requests by their effect on the service level. */
  readonly burn: Pick<BurnCounter, 'count'>;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** The refusal for a caller whose request did not run. */
const NOT_RUN_REFUSALS: Readonly<Record<NotRun['reason'], RefusalName>> = {
  'no-instance': 'no-instance',
  busy: 'busy',
  draining: 'busy',
  'connect-failed': 'no-instance',
  deadline: 'deadline',
  cancelled: 'busy',
  'token-expired': 'busy',
};

/** The refusal for a caller whose request may have run. */
const UNKNOWN_REFUSALS: Readonly<Record<Unknown['reason'], RefusalName>> = {
  'connection-lost': 'connection-lost',
  timeout: 'timeout',
  cancelled: 'timeout',
};

const RETRY_AFTER_MS = 1000;

/** The state of one request while it is served. */
interface RequestContext {
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
  readonly #stop = new StopDeadline();
  #isDraining = false;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /**
   * Makes every answer from now on close its connection. After `leftMs` the
   * requests that are still in flight are answered as unknown.
   */
  drain(leftMs: number): void {
    this.#isDraining = true;
    this.#stop.begin(leftMs);
  }

  /** Serves one caller's request; never throws. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = readRequestId(req);
    const ctx: RequestContext = {
      req,
      res,
      requestId,
      arrivedAtMs: performance.now(),
      refuse: (name, detail) => refuse(res, name, {requestId, ...detail}),
    };
    if (this.#isDraining) res.setHeader('connection', 'close');
    try {
      await this.#serve(ctx);
    } catch (err) {
      this.#options.log.error(`Request ${requestId} failed: ${reasonOf(err)}.`);
      if (res.headersSent) res.destroy();
      else ctx.refuse('internal');
    }
    discardRequestBody(req);
  }

  async #serve(ctx: RequestContext): Promise<void> {
    const {req, arrivedAtMs} = ctx;
    if (!isSupported(req)) return ctx.refuse('bad-request');
    const access = this.#checkAccess(req);
    if (!access.granted) return this.#refuseAccess(ctx, access);
    const {route, customer} = access;
    if (!this.#stop.allows(this.#usualMs(route))) {
      return ctx.refuse('stopping', {retryAfterMs: RETRY_AFTER_MS});
    }
    const deadlineAtMs = arrivedAtMs + route.deadlineMs;
    const received = await receiveBody(req, deadlineAtMs);
    if ('failure' in received) return ctx.refuse(received.failure);
    // The API key may have been withdrawn while a slow body was received.
    const accessAfterBody = received.body ? this.#checkAccess(req) : access;
    if (!accessAfterBody.granted)
      return this.#refuseAccess(ctx, accessAfterBody);
    const admissionTables = this.#options.tables();
    const admission = customer && (await this.#options.limiter.admit(customer));
    if (admission && !admission.admitted) {
      const {reason, retryAfterMs} = admission;
      this.#countRequest(access, reason, verdictOfRefusal(reason));
      return ctx.refuse(reason, {retryAfterMs});
    }
    const key = readApiKey(req);
    const {requestId, res} = ctx;
    const {body} = received;
    const token =
      admission && this.#guardToken(admission.token, req, admissionTables);
    const detail = {requestId, route, customer, key, body, deadlineAtMs, token};
    const work = createWork(req, res, detail, this.#stop.signal);
    await this.#claimAndRun(ctx, work, access);
  }

  /** How long a request on a route usually takes. */
  #usualMs({service, deadlineMs}: Route): number {
    const {hedgedSender, tables} = this.#options;
    const objectiveMs = tables().service(service)?.objectiveLatencyMs;
    return hedgedSender.usualMs(service) ?? objectiveMs ?? deadlineMs;
  }

  #checkAccess(req: IncomingMessage): AccessGranted | AccessDenied {
    // This call may bring a newer revision into force, so the tables are read
    // after it.
    const areKeysFresh = this.#options.areKeysFresh();
    const tables = this.#options.tables();
    const refused = (refusal: RefusalName) => {
      return {granted: false, refusal} as const;
    };
    if (tables.revision === 0) return refused('not-ready');
    const target = parseTarget(req);
    const key = readApiKey(req);
    if (!target || containsKey(req.url ?? '', key)) {
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
  #guardToken(
    token: RateToken,
    req: IncomingMessage,
    admissionTables: Tables,
  ): RateToken {
    const {areKeysFresh, tables} = this.#options;
    return new GuardedToken(token, () => {
      const isSame = areKeysFresh() && tables() === admissionTables;
      return isSame || this.#checkAccess(req).granted;
    });
  }

  #refuseAccess(ctx: RequestContext, {refusal}: AccessDenied): void {
    const isStale = refusal === 'keys-stale';
    ctx.refuse(refusal, isStale ? {retryAfterMs: RETRY_AFTER_MS} : undefined);
  }

  /** Claims the idempotency key if there is one, runs the work, and answers. */
  async #claimAndRun(
    ctx: RequestContext,
    work: Work,
    access: AccessGranted,
  ): Promise<void> {
    const {customer} = access;
    const claimRequest = readClaimRequest(ctx.req, work, access);
    if (claimRequest === 'invalid') {
      work.token?.release();
      return ctx.refuse('bad-request');
    }
    const {keyClaimer} = this.#options;
    const claim =
      claimRequest &&
      (await keyClaimer.claim(claimRequest.scope, claimRequest.key));
    if (claim && claim.verdict !== 'run') {
      work.token?.release();
      this.#countRequest(
        access,
        `key-${claim.verdict}`,
        claim.verdict === 'seen' ? 'repeated' : 'refused',
      );
      if (claim.verdict === 'unsure') {
        const {retryAfterMs} = claim;
        return ctx.refuse('key-unsure', {retryAfterMs});
      }
      return ctx.refuse('key-reused', {first: claim.first});
    }
    const outcome = await this.#runWithRetries(work, customer).catch(
      (err: unknown) => {
        claim?.settle('unknown');
        throw err;
      },
    );
    if (outcome.kind === 'not-run') work.token?.release();
    claim?.settle(settlementOf(outcome));
    this.#countRequest(
      access,
      outcome.kind,
      this.#verdictOf(ctx, access, outcome),
    );
    // The API key may have been withdrawn while the request was queued.
    const accessNow =
      outcome.kind === 'not-run' ? this.#checkAccess(ctx.req) : access;
    if (!accessNow.granted) return this.#refuseAccess(ctx, accessNow);
    await this.#respond(ctx, outcome);
  }

  #runWithRetries(
    work: Work,
    customer: Customer | undefined,
  ): Promise<Outcome> {
    const {gates, limiter, hedgedSender} = this.#options;
    const drawToken = async (): Promise<RateToken | undefined> => {
      const admission = customer && (await limiter.admit(customer));
      return admission?.admitted ? admission.token : undefined;
    };
    const next = (tried: ReadonlySet<string>) => gates.next(work, tried);
    return runWithRetries(work, {next, drawToken, hedgedSender});
  }

  async #respond(ctx: RequestContext, outcome: Outcome): Promise<void> {
    if (outcome.kind === 'answered') return this.#sendAnswer(ctx, outcome);
    if (ctx.res.destroyed) return;
    if (outcome.kind === 'unknown') {
      return ctx.refuse(UNKNOWN_REFUSALS[outcome.reason]);
    }
    const {retryAfterMs = RETRY_AFTER_MS, reason} = outcome;
    const isStopped = this.#stop.signal.aborted && reason === 'cancelled';
    ctx.refuse(isStopped ? 'stopping' : NOT_RUN_REFUSALS[reason], {
      retryAfterMs,
    });
  }

  async #sendAnswer({res}: RequestContext, answer: Answered): Promise<void> {
    try {
      if (this.#isDraining) res.setHeader('connection', 'close');
      res.writeHead(answer.status, [...filterReturnedHeaders(answer.headers)]);
      await sendBody(answer.body, res);
    } catch {
      answer.body.destroy();
      res.destroy();
    }
  }

  #verdictOf(
    ctx: RequestContext,
    {route}: AccessGranted,
    outcome: Outcome,
  ): Verdict {
    const elapsedMs = performance.now() - ctx.arrivedAtMs;
    const service = this.#options.tables().service(route.service);
    const objectiveMs = service?.objectiveLatencyMs ?? Infinity;
    return verdictOfOutcome(outcome, elapsedMs, objectiveMs);
  }

  #countRequest(
    access: AccessGranted,
    outcome: string,
    verdict: Verdict,
  ): void {
    const {service} = access.route;
    const customer = access.customer?.id ?? 'open';
    this.#options.metrics.count('requests', {service, customer, outcome});
    this.#options.burn.count(service, customer, verdict);
  }
}

function readRequestId(req: IncomingMessage): string {
  const given = req.headers['x-request-id'];
  const isUsable = typeof given === 'string' && /^[\w.:-]{1,128}$/.test(given);
  return isUsable ? given : randomUUID();
}
