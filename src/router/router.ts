/**
 * The router: takes callers' requests, finds out for whom they run, admits
 * them, and sends each to a gate. A request that surely did not run may go
 * to another gate; one that may have run goes again only if it is idempotent.
 */
import {randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer, Route} from '../configuration/records.js';
import type {Tables} from '../configuration/tables.js';
import {reasonOf} from '../errors/failure.js';
import type {RequestBody} from '../gate/body.js';
import type {Answered, NotRun, Outcome, Unknown, Work} from '../gate/work.js';
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
import {decideAccess, type Granted} from './access.js';
import type {Gates} from './gates.js';
import {forwardedHeaders, keyOf, returnedHeaders} from './headers.js';
import {receiveBody} from './receive.js';
import {refuse, type RefusalName} from './refusals.js';

/** Options of {@link Router}. */
export interface RouterOptions {
  readonly tables: () => Tables;
  readonly limiter: RateLimiter;
  readonly gates: Gates;
  /** Counts what each request meant for the service level. */
  readonly burn: Pick<BurnCounter, 'count'>;
  readonly log: Logger;
  readonly metrics: Metrics;
}

const MAX_ATTEMPTS = 3;
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/** What a caller is told after the last attempt. */
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

/** The router of one daemon. */
export class Router {
  readonly #options: RouterOptions;

  constructor(options: RouterOptions) {
    this.#options = options;
  }

  /** Serves one request of a caller; never throws. */
  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const requestId = requestIdOf(req);
    try {
      await this.#serve(req, res, requestId);
    } catch (err) {
      this.#options.log.error(`Request ${requestId}: ${reasonOf(err)}.`);
      if (res.headersSent) res.destroy();
      else refuse(res, 'internal', {requestId});
    }
  }

  async #serve(
    req: IncomingMessage,
    res: ServerResponse,
    requestId: string,
  ): Promise<void> {
    const arrivedAtMs = performance.now();
    const tables = this.#options.tables();
    if (tables.revision === 0) return refuse(res, 'not-ready', {requestId});
    const key = keyOf(req);
    const access = decideAccess(tables, hostOf(req), pathOf(req), key);
    if (!access.granted) return refuse(res, access.refusal, {requestId});
    const {route, customer} = access;
    const deadlineAtMs = arrivedAtMs + route.deadlineMs;
    const received = await receiveBody(req, deadlineAtMs);
    if ('failure' in received) {
      return refuse(res, received.failure, {requestId});
    }
    const admission = customer && (await this.#options.limiter.admit(customer));
    if (admission && !admission.admitted) {
      const {reason, retryAfterMs} = admission;
      this.#count(access, reason, verdictOfRefusal(reason));
      return refuse(res, reason, {requestId, retryAfterMs});
    }
    const work = makeWork(req, res, {
      body: received.body,
      requestId,
      route,
      customer,
      key,
      deadlineAtMs,
      token: admission?.token,
    });
    const outcome = await this.#attempt(work);
    if (outcome.kind === 'not-run') admission?.token.giveBack();
    const elapsedMs = performance.now() - arrivedAtMs;
    const objective = tables.service(route.service)?.objectiveLatencyMs;
    const verdict = verdictOfOutcome(outcome, elapsedMs, objective ?? Infinity);
    this.#count(access, outcome.kind, verdict);
    await this.#finish(res, outcome, requestId);
  }

  /** Tries gates until one answers or the request must not go again. */
  async #attempt(work: Work): Promise<Outcome> {
    const tried = new Set<string>();
    let last: Outcome = {kind: 'not-run', reason: 'no-instance'};
    while (tried.size < MAX_ATTEMPTS) {
      const candidate = this.#options.gates.next(work.service, tried);
      if (!candidate) return last;
      tried.add(candidate.memberId);
      last = await candidate.door.run(work);
      if (!mayGoAgain(last, work)) return last;
    }
    return last;
  }

  async #finish(
    res: ServerResponse,
    outcome: Outcome,
    requestId: string,
  ): Promise<void> {
    if (outcome.kind === 'answered') return this.#answer(res, outcome);
    if (res.destroyed) return;
    const retryAfterMs =
      outcome.kind === 'not-run'
        ? (outcome.retryAfterMs ?? RETRY_AFTER_MS)
        : undefined;
    refuse(res, REFUSAL_OF[outcome.reason], {requestId, retryAfterMs});
  }

  async #answer(res: ServerResponse, answer: Answered): Promise<void> {
    res.writeHead(answer.status, [...returnedHeaders(answer.headers)]);
    await sendBody(answer.body, res);
  }

  #count(access: Granted, outcome: string, verdict: Verdict): void {
    const {service} = access.route;
    const customer = access.customer?.id ?? 'open';
    this.#options.metrics.count('requests', {service, customer, outcome});
    this.#options.burn.count(service, customer, verdict);
  }
}

interface WorkDetail {
  readonly body: RequestBody | undefined;
  readonly requestId: string;
  readonly route: Route;
  readonly customer: Customer | undefined;
  readonly key: string | undefined;
  readonly deadlineAtMs: number;
  readonly token: RateToken | undefined;
}

function makeWork(
  req: IncomingMessage,
  res: ServerResponse,
  detail: WorkDetail,
): Work {
  const {requestId, route, customer, key, deadlineAtMs, token, body} = detail;
  const gone = new AbortController();
  res.on('close', () => {
    if (!res.writableFinished) gone.abort();
  });
  const method = req.method ?? 'GET';
  const leftMs = deadlineAtMs - performance.now();
  return {
    requestId,
    service: route.service,
    method,
    path: req.url ?? '/',
    headers: forwardedHeaders(req, {
      requestId,
      customer: customer?.id,
      key,
      leftMs,
    }),
    body,
    customer: customer?.id,
    idempotent: isIdempotent(route, method),
    deadlineAtMs,
    token,
    signal: gone.signal,
  };
}

function mayGoAgain(outcome: Outcome, work: Work): boolean {
  if (outcome.kind === 'answered' || work.signal.aborted) return false;
  if (work.body?.replayable === false) return false;
  if (outcome.kind === 'unknown') return work.idempotent;
  return performance.now() < work.deadlineAtMs;
}

function isIdempotent(route: Route, method: string): boolean {
  if (route.idempotent === 'by-method') return IDEMPOTENT_METHODS.has(method);
  return route.idempotent === 'yes';
}

function hostOf(req: IncomingMessage): string {
  return (req.headers.host ?? '').replace(/:\d+$/, '').toLowerCase();
}

function pathOf(req: IncomingMessage): string {
  return (req.url ?? '/').split('?')[0] ?? '/';
}

function requestIdOf(req: IncomingMessage): string {
  const given = req.headers['x-request-id'];
  const usable = typeof given === 'string' && /^[\w.:-]{1,128}$/.test(given);
  return usable ? given : randomUUID();
}
