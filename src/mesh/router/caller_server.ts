/**
 * HTTP server for callers. Matches each request to a route and a customer,
 * admits or refuses it, dispatches it, and sends exactly one response. Drains
 * by closing connections as they become idle.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import polka from 'polka';
import {reasonOf} from '../../errors/failure.js';
import {createCallerServer} from '../../http/caller_server.js';
import type {ConnectionGuard} from '../../http/connection_guard.js';
import {listen} from '../../http/listener.js';
import {sendProblem} from '../../http/problem.js';
import {BAD_REQUEST} from '../../http/strict_server.js';
import type {DecisionLog} from '../../log/decision_log.js';
import type {HeaderNames} from '../header_names.js';
import type {MemoryBudget, MemoryGrant} from '../limits/memory_budget.js';
import type {ResponseMemory} from '../limits/response_memory.js';
import type {RepeatCalls} from '../limits/repeat_calls.js';
import type {SharedLimits} from '../limits/shared_limits.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {CallerLimits, Customer, Route} from '../model.js';
import {checkHead} from './admission.js';
import {
  announcedBytes,
  BodyReader,
  SMALL_BODY_BYTES,
  type ReadResult,
} from './body_reader.js';
import {buildBackendHeaders, buildCallerHeaders} from './caller_headers.js';
import {
  INTERNAL_PRIORITY,
  STOPPING_WAIT_MS,
  type AdmittedRequest,
  type Dispatcher,
  type DispatchFailure,
  type DispatchResult,
} from './dispatcher.js';
import {REFUSALS, type RefusalName} from './refusals.js';
import {fingerprintOf} from './fingerprint.js';
import type {QueryOfDeathGuard} from './query_of_death.js';
import {computeRetryAfterMs} from './retry_after.js';
import {ResponseSender} from './response_sender.js';
import {pickService, type RouteTable} from './route_table.js';
import {StartupDelay} from './startup_delay.js';

export interface CallerServerOptions {
  /** `IP:PORT` to listen on. */
  readonly address: string;
  readonly names: HeaderNames;
  /** Service of this VM, sent to backend servers as the calling service. */
  readonly service: string;
  readonly dispatcher: Dispatcher;
  readonly limits: SharedLimits;
  readonly quarantine: Pick<QueryOfDeathGuard, 'check'>;
  readonly repeatCalls: RepeatCalls;
  /** Holds the bodies that callers send. */
  readonly budget: MemoryBudget;
  /** Holds responses until their callers have read them. */
  readonly responses: ResponseMemory;
  /** Bounds what the connections of a server take. */
  readonly guard: (server: Server) => ConnectionGuard;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  /** Undefined until the first configuration is in force. */
  readonly routes: () => RouteTable | undefined;
  /** Whether the daemon knows the peers that share the customers' rates. */
  readonly isFleetKnown: () => boolean;
  /** Whether any instance of the service is known. */
  readonly hasInstances: (service: string) => boolean;
}

/** Above the header limit of every deployment; Node's default is 16 KiB. */
const MAX_HEADER_BYTES = 65_536;
/** Applies until a configuration sets a limit. */
const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Connections may queue while a busy process accepts others. */
const LISTEN_BACKLOG = 1024;

const CALLER_DISCONNECTED = new Error('the caller closed its connection');

/** Name of the fleet-wide limit on a customer's rate. */
export function rateLimitName(customer: string): string {
  return `rate:${customer}`;
}

/** A request that is being handled. */
interface RequestContext {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly startedAtMs: number;
  routeName: string;
  /** What is known of the request so far, for its log line. */
  known: {
    readonly objectiveMs?: number;
    readonly customer?: string;
    readonly service?: string;
  };
}

/** A request's route, customer and body. */
interface MatchedRequest {
  readonly route: Route;
  readonly customer: Customer | undefined;
  readonly table: RouteTable;
  readonly body: Buffer;
}

interface Refusal {
  readonly name: RefusalName;
  readonly detail?: string;
  readonly retryAfterMs?: number;
}

export class CallerServer {
  readonly #options: CallerServerOptions;
  readonly #startupDelay: StartupDelay;
  readonly #server;
  readonly #guard: ConnectionGuard;
  readonly #bodies: BodyReader;
  readonly #sender: ResponseSender;
  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
  #openRequests = 0;
  #isStopping = false;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    const {routes, isFleetKnown} = options;
    this.#startupDelay = new StartupDelay([
      () => routes() !== undefined,
      isFleetKnown,
    ]);
    const app = polka({
      onNoMatch: (req, res) => void this.#handleRequest(req, res),
    });
    this.#server = createCallerServer(MAX_HEADER_BYTES, () =>
      this.#recordMalformed(),
    );
    this.#guard = options.guard(this.#server);
    const {budget, responses} = options;
    this.#bodies = new BodyReader({budget, guard: this.#guard, responses});
    this.#sender = new ResponseSender({responses, guard: this.#guard});
    this.#server.on('request', app.handler);
  }

  /** Number of requests whose response has not been sent completely. */
  get openRequests(): number {
    return this.#openRequests;
  }

  /** The largest body that a request may have. */
  get maxBodyBytes(): number {
    return this.#maxBodyBytes;
  }

  async start(): Promise<string> {
    const {address, log} = this.#options;
    const bound = await listen(this.#server, address, 'callers', {
      backlog: LISTEN_BACKLOG,
      onRetry: retry => log.belief('listen-retried', {...retry}),
    });
    this.#startupDelay.begin();
    return bound;
  }

  /** Applies the limits of a new configuration. */
  applyLimits(limits: CallerLimits): void {
    this.#maxBodyBytes = limits.maxBodyBytes;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** From now on each response asks its caller to close the connection. */
  drain(): void {
    this.#isStopping = true;
  }

  /** Stops accepting connections; in-flight requests continue. */
  close(): void {
    this.#startupDelay.stop();
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const id = String(req.headers[this.#options.names.requestId] ?? '');
    const startedAtMs = performance.now();
    const context: RequestContext = {
      req,
      res,
      id,
      startedAtMs,
      routeName: 'none',
      known: {},
    };
    const callerAbort = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) callerAbort.abort(CALLER_DISCONNECTED);
    });
    this.#openRequests += 1;
    res.on('close', () => {
      this.#openRequests -= 1;
    });
    try {
      await this.#processRequest(context, callerAbort.signal);
    } catch (err) {
      this.#refuse(context, {name: 'internal', detail: reasonOf(err)});
    }
  }

  async #processRequest(
    context: RequestContext,
    callerSignal: AbortSignal,
  ): Promise<void> {
    const {req, startedAtMs} = context;
    const {routes, isFleetKnown, hasInstances, names} = this.#options;
    if ((announcedBytes(req) ?? 0) > this.#maxBodyBytes) {
      return this.#refuse(context, {name: 'body-too-large'});
    }
    const callerTimeoutMs = parseCallerTimeoutMs(req, names) ?? Infinity;
    await this.#startupDelay.waitUntil(() => routes() !== undefined, {
      callerSignal,
      deadlineAtMs: startedAtMs + callerTimeoutMs,
    });
    const deadlineOf = (route: Route) =>
      startedAtMs + Math.min(callerTimeoutMs, route.timeoutMs);
    const admission = checkHead(
      {
        id: context.id,
        host: req.headers.host ?? '',
        path: req.url ?? '/',
        key: req.headers[names.key],
      },
      routes(),
      route => this.#options.dispatcher.canFinish(route, deadlineOf(route)),
    );
    context.routeName = admission.route?.name ?? context.routeName;
    context.known = {objectiveMs: admission.route?.objectiveMs};
    if (admission.kind === 'refused') {
      const {name} = admission;
      if (name === 'stopping') return this.#refuseStopping(context);
      return this.#refuse(context, {name});
    }
    const {route, customer, table} = admission;
    context.known = {...context.known, customer: customer?.name};
    const body = await this.#bodies.read(req, this.#maxBodyBytes);
    if (body.kind === 'broken') return this.#record(context, 0, 'caller-gone');
    if (body.kind !== 'whole') {
      return this.#refuse(context, {name: BODY_REFUSALS[body.kind]});
    }
    const {grant} = body;
    if (grant) releaseAfter(context.res, grant);
    const request = this.#buildAdmittedRequest(context, {
      route,
      customer,
      table,
      body: body.bytes,
    });
    const delayLimits = {callerSignal, deadlineAtMs: deadlineOf(route)};
    await this.#startupDelay.waitUntil(isFleetKnown, delayLimits);
    const verdict = this.#options.quarantine.check(request.fingerprint);
    if (verdict.kind === 'quarantined') {
      const {retryAfterMs} = verdict;
      const detail = request.fingerprint;
      return this.#refuse(context, {name: 'quarantined', detail, retryAfterMs});
    }
    if (customer && !(await this.#takeRateToken(context, customer))) return;
    const {service} = request;
    context.known = {...context.known, service};
    await this.#startupDelay.waitUntil(
      () => hasInstances(service),
      delayLimits,
    );
    // Backend servers send no API key, so only requests without one count.
    if (!customer)
      this.#options.repeatCalls.chargeIfRepeat(request.id, service);
    const result = await this.#options.dispatcher.serve({
      ...request,
      callerSignal,
    });
    grant?.release();
    this.#respond(context, result);
  }

  /** Refuses a request that could not end before the daemon does. */
  #refuseStopping(context: RequestContext): void {
    const leftMs = this.#remainingMs(context);
    const retryAfterMs = computeRetryAfterMs(STOPPING_WAIT_MS, leftMs);
    this.#refuse(context, {name: 'stopping', retryAfterMs});
  }

  /** Takes a token of the customer's rate; refuses the request without one. */
  async #takeRateToken(
    context: RequestContext,
    customer: Customer,
  ): Promise<boolean> {
    const limit = rateLimitName(customer.name);
    const {isGranted, retryAfterMs} = await this.#options.limits.take(limit);
    if (isGranted) return true;
    const leftMs = this.#remainingMs(context);
    this.#refuse(context, {
      name: 'over-rate',
      detail: customer.name,
      retryAfterMs: computeRetryAfterMs(retryAfterMs, leftMs),
    });
    return false;
  }

  #buildAdmittedRequest(
    context: RequestContext,
    {route, customer, table, body}: MatchedRequest,
  ): Omit<AdmittedRequest, 'callerSignal'> {
    const {req, id, startedAtMs} = context;
    const {names, service: callerService} = this.#options;
    const callerDeadlineAtMs =
      startedAtMs + (parseCallerTimeoutMs(req, names) ?? route.timeoutMs);
    const origin = {callerService, customer: customer?.name};
    const {method = 'GET', url: path = '/'} = req;
    const fingerprint = fingerprintOf({
      route: route.name,
      customer: customer?.name,
      method,
      host: req.headers.host ?? '',
      path,
      body,
    });
    return {
      id,
      fingerprint,
      route,
      service: pickService(route) ?? '',
      priority: computePriority(route, customer, table),
      customer: customer?.name,
      method,
      path,
      headers: buildBackendHeaders(req, names, origin),
      body,
      deadlineAtMs: Math.min(callerDeadlineAtMs, startedAtMs + route.timeoutMs),
      callerDeadlineAtMs,
    };
  }

  #respond(context: RequestContext, result: DispatchResult): void {
    if (result.kind === 'failed') return this.#refuseFailed(context, result);
    const {res} = context;
    const {status, headers, body} = result;
    const {instance} = result;
    if (!res.destroyed && !this.#sender.hold(context.req, res, body.length)) {
      return this.#record(context, 0, 'no-response-memory', {instance});
    }
    this.#record(context, status, 'answered', {instance});
    if (res.destroyed) return;
    if (this.#isStopping) res.setHeader('connection', 'close');
    res.writeHead(status, [...buildCallerHeaders(headers, body.length)]);
    this.#sender.send(context.req, res, body);
  }

  #refuseFailed(context: RequestContext, failure: DispatchFailure): void {
    if (failure.ran === 'unknown') {
      const name = failure.isTimeout ? 'timeout' : 'answer-lost';
      return this.#refuse(context, {name, detail: failure.reason});
    }
    const name = NOT_RUN_REFUSALS[failure.reason] ?? 'not-run';
    const leftMs = this.#remainingMs(context);
    const retryAfterMs = computeRetryAfterMs(failure.waitMs, leftMs);
    this.#refuse(context, {name, detail: failure.reason, retryAfterMs});
  }

  #remainingMs({req, startedAtMs}: RequestContext): number {
    const deadlineMs = parseCallerTimeoutMs(req, this.#options.names) ?? 0;
    return startedAtMs + deadlineMs - performance.now();
  }

  #refuse(context: RequestContext, refusal: Refusal): void {
    const {res, id} = context;
    const {name, detail, retryAfterMs} = refusal;
    const {status, ran} = REFUSALS[name];
    this.#record(context, status, name, {
      ran,
      detail,
      retryAfterMs: retryAfterMs && Math.round(retryAfterMs),
    });
    if (res.destroyed || res.headersSent) return;
    if (id !== '') res.setHeader(this.#options.names.requestId, id);
    if (retryAfterMs !== undefined) {
      res.setHeader('retry-after', (retryAfterMs / 1000).toFixed(2));
    }
    if (this.#isStopping) res.setHeader('connection', 'close');
    this.#discardRest(context, CUT_OFF.has(name));
    sendProblem(res, name, REFUSALS[name], {detail});
  }

  /** Parses nothing more of a refused request unless little is left of it. */
  #discardRest({req, res}: RequestContext, isCutOff: boolean): void {
    const isLittleLeft =
      !isCutOff && (announcedBytes(req) ?? Infinity) <= SMALL_BODY_BYTES;
    if (req.complete || (isLittleLeft && !req.readableDidRead)) return;
    res.setHeader('connection', 'close');
    this.#guard.connectionOf(req)?.closeAfterResponse();
  }

  /** Its fields are in doubt, so none of them is logged. */
  #recordMalformed(): void {
    const {log, metrics} = this.#options;
    const {status} = BAD_REQUEST;
    metrics.recordAnswer('none', status, 'bad-request', 0);
    log.failure('not-served', {status, reason: 'bad-request', ran: 'no'});
  }

  #record(
    context: RequestContext,
    status: number,
    reason: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    const {id, routeName: route, startedAtMs, known} = context;
    const tookMs = Math.round(performance.now() - startedAtMs);
    const {log, metrics} = this.#options;
    const version = this.#options.routes()?.version;
    metrics.recordAnswer(route, status, reason, tookMs);
    const line = {
      id,
      route,
      status,
      reason,
      tookMs,
      version,
      ...known,
      ...fields,
    };
    if (status >= 200 && status < 300) log.step('answered', line);
    else log.failure('not-served', line);
  }
}

function computePriority(
  route: Route,
  customer: Customer | undefined,
  table: RouteTable,
): number {
  if (!customer && table.hasCustomers) return INTERNAL_PRIORITY;
  return customer?.priority ?? route.priority;
}

/** Refusals by the reason why a body was not read to its end. */
const BODY_REFUSALS: Readonly<
  Record<Exclude<ReadResult['kind'], 'whole' | 'broken'>, RefusalName>
> = {
  'too-large': 'body-too-large',
  'no-memory': 'no-memory',
  stalled: 'body-stalled',
  slow: 'body-stalled',
  framing: 'framing-too-large',
  displaced: 'displaced',
};

/** Refusals of bodies that are no longer waited for. */
const CUT_OFF: ReadonlySet<RefusalName> = new Set([
  'body-stalled',
  'displaced',
]);

/** Releases a grant once the response is sent or its caller is gone. */
function releaseAfter(res: ServerResponse, grant: MemoryGrant): void {
  if (res.closed) grant.release();
  else res.on('close', () => grant.release());
}

/** Refusals by the reason why a request was not executed. */
const NOT_RUN_REFUSALS: Readonly<Partial<Record<string, RefusalName>>> = {
  busy: 'busy',
  limited: 'busy',
  cold: 'busy',
  doubtful: 'not-answering',
  deadline: 'deadline',
  'no-instance': 'no-instance',
  leaving: 'no-instance',
  evacuated: 'no-instance',
  stopping: 'no-instance',
  'daemon-stopping': 'stopping',
  'no-memory': 'no-memory',
  silent: 'no-instance',
};

/** Timeout that the caller declared for the whole request, in milliseconds. */
function parseCallerTimeoutMs(
  req: IncomingMessage,
  names: HeaderNames,
): number | undefined {
  const ms = Number(req.headers[names.deadline]);
  return Number.isFinite(ms) && ms > 0 ? ms : undefined;
}
