/**
 * The listener for callers: each request is matched to a route and a
 * customer, admitted or refused, dispatched, and answered once. It stops by
 * closing connections as they become idle.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import polka from 'polka';
import {reasonOf} from '../../errors/failure.js';
import {createCallerServer} from '../../http/caller_server.js';
import {listen} from '../../http/listener.js';
import {sendProblem} from '../../http/problem.js';
import type {DecisionLog} from '../../log/decision_log.js';
import type {HeaderNames} from '../header_names.js';
import type {RepeatCalls} from '../limits/repeat_calls.js';
import type {SharedLimits} from '../limits/shared_limits.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {CallerLimits, Customer, Route} from '../model.js';
import {readBody} from './caller_body.js';
import {headersForBackend, headersForCaller} from './caller_headers.js';
import type {Admitted, Dispatcher, GivenUp, Verdict} from './dispatcher.js';
import {REFUSALS, type RefusalName} from './refusals.js';
import {returnAfterMs} from './return_time.js';
import {pickService, type RouteTable} from './route_table.js';
import {StartHold} from './start_hold.js';

/** What the front door is made from. */
export interface FrontDoorOptions {
  /** `IP:PORT` to listen at. */
  readonly address: string;
  readonly names: HeaderNames;
  /** The service of this VM, for backend servers to know the caller. */
  readonly service: string;
  readonly dispatcher: Dispatcher;
  readonly limits: SharedLimits;
  readonly repeatCalls: RepeatCalls;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  /** Undefined before the first configuration. */
  readonly routes: () => RouteTable | undefined;
  /** Whether the daemon knows who shares the customers' rates with it. */
  readonly isFleetKnown: () => boolean;
  /** Whether some instance of a service is known. */
  readonly hasInstances: (service: string) => boolean;
}

/** Above the header limit of any deployment; Node's default is 16 KiB. */
const MAX_HEADER_BYTES = 65_536;
/** Used until the configuration states a limit. */
const DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024;
/** Connections may wait while a busy process accepts others. */
const BACKLOG = 1024;

const CALLER_GONE = new Error('the caller closed its connection');

/** The name of the shared limit on a customer's rate. */
export function rateLimit(customer: string): string {
  return `rate:${customer}`;
}

/** A request on its way, with what is known of it so far. */
interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly startedAtMs: number;
  routeName: string;
}

/** What a request was matched to. */
interface Matched {
  readonly route: Route;
  readonly customer: Customer | undefined;
  readonly table: RouteTable;
  readonly body: Buffer;
}

interface Refusal {
  readonly name: RefusalName;
  readonly detail?: string;
  /** From now, in milliseconds. */
  readonly retryAfterMs?: number;
}

/** The callers' listener. */
export class FrontDoor {
  readonly #options: FrontDoorOptions;
  readonly #startHold = new StartHold();
  readonly #server;
  #maxBodyBytes = DEFAULT_MAX_BODY_BYTES;
  #open = 0;
  #isStopping = false;

  constructor(options: FrontDoorOptions) {
    this.#options = options;
    const app = polka({onNoMatch: (req, res) => void this.#serve(req, res)});
    this.#server = createCallerServer(MAX_HEADER_BYTES);
    this.#server.on('request', app.handler);
  }

  /** Requests that are not answered yet. */
  get open(): number {
    return this.#open;
  }

  start(): Promise<string> {
    return listen(this.#server, this.#options.address, 'callers', BACKLOG);
  }

  /** Takes over the limits of a new configuration. */
  limit(limits: CallerLimits): void {
    this.#maxBodyBytes = limits.maxBodyBytes;
    this.#server.headersTimeout = limits.headerTimeoutMs;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  /** Asks callers to leave with their next answer. */
  drain(): void {
    this.#isStopping = true;
  }

  /** Accepts no more connections; open requests go on. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const id = String(req.headers[this.#options.names.requestId] ?? '');
    const startedAtMs = performance.now();
    const exchange = {req, res, id, startedAtMs, routeName: 'none'};
    const gone = new AbortController();
    res.on('close', () => {
      if (!res.writableFinished) gone.abort(CALLER_GONE);
    });
    this.#open += 1;
    try {
      await this.#answer(exchange, gone.signal);
    } catch (err) {
      this.#refuse(exchange, {name: 'internal', detail: reasonOf(err)});
    } finally {
      this.#open -= 1;
    }
  }

  async #answer(exchange: Exchange, callerGone: AbortSignal): Promise<void> {
    const {req} = exchange;
    const {routes, isFleetKnown, hasInstances} = this.#options;
    await this.#startHold.until(() => routes() !== undefined, callerGone);
    const table = routes();
    if (!table) return this.#refuse(exchange, {name: 'not-ready'});
    const route = table.route(req.headers.host ?? '', req.url ?? '/');
    if (!route) return this.#refuse(exchange, {name: 'no-route'});
    exchange.routeName = route.name;
    const customer = this.#customer(req, route, table);
    if (typeof customer === 'string') {
      return this.#refuse(exchange, {name: customer});
    }
    if (exchange.id === '') {
      return this.#refuse(exchange, {name: 'request-id-missing'});
    }
    const body = await readBody(req, this.#maxBodyBytes);
    if (body.kind === 'too-large') {
      return this.#refuse(exchange, {name: 'body-too-large'});
    }
    if (body.kind === 'broken') return this.#note(exchange, 0, 'caller-gone');
    await this.#startHold.until(isFleetKnown, callerGone);
    if (customer && !(await this.#isWithinRate(exchange, customer))) return;
    const request = this.#admitted(exchange, {
      route,
      customer,
      table,
      body: body.bytes,
    });
    const {service} = request;
    await this.#startHold.until(() => hasInstances(service), callerGone);
    // Backend servers have no key, so that a request with one is no call.
    if (!customer) this.#options.repeatCalls.called(request.id, service);
    const verdict = await this.#options.dispatcher.serve({
      ...request,
      callerGone,
    });
    this.#finish(exchange, verdict);
  }

  /** The customer, undefined where none is needed, or why it is refused. */
  #customer(
    req: IncomingMessage,
    route: Route,
    table: RouteTable,
  ): Customer | undefined | 'key-missing' | 'key-unknown' {
    if (route.isPublic || !table.hasCustomers) return undefined;
    const key = req.headers[this.#options.names.key];
    if (typeof key !== 'string' || key === '') return 'key-missing';
    return table.customerOfKey(key) ?? 'key-unknown';
  }

  async #isWithinRate(
    exchange: Exchange,
    customer: Customer,
  ): Promise<boolean> {
    const limit = rateLimit(customer.name);
    const {isGranted, retryAfterMs} = await this.#options.limits.take(limit);
    if (isGranted) return true;
    const leftMs = this.#leftMs(exchange);
    this.#refuse(exchange, {
      name: 'over-rate',
      detail: customer.name,
      retryAfterMs: returnAfterMs(retryAfterMs, leftMs),
    });
    return false;
  }

  #admitted(
    exchange: Exchange,
    {route, customer, table, body}: Matched,
  ): Omit<Admitted, 'callerGone'> {
    const {req, id, startedAtMs} = exchange;
    const {names, service: callerService} = this.#options;
    const callerDeadlineAtMs =
      startedAtMs + (deadlineOf(req, names) ?? route.timeoutMs);
    const stamp = {callerService, customer: customer?.name};
    return {
      id,
      route,
      service: pickService(route) ?? '',
      priority: priorityOf(route, customer, table),
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: headersForBackend(req, names, stamp),
      body,
      deadlineAtMs: Math.min(callerDeadlineAtMs, startedAtMs + route.timeoutMs),
      callerDeadlineAtMs,
    };
  }

  #finish(exchange: Exchange, verdict: Verdict): void {
    if (verdict.kind === 'given-up') return this.#giveUp(exchange, verdict);
    const {res} = exchange;
    const {status, headers, body} = verdict;
    this.#note(exchange, status, 'answered', {instance: verdict.instance});
    if (res.destroyed) return;
    if (this.#isStopping) res.setHeader('connection', 'close');
    res.writeHead(status, [...headersForCaller(headers, body.length)]);
    res.end(body);
  }

  #giveUp(exchange: Exchange, verdict: GivenUp): void {
    if (verdict.ran === 'unknown') {
      const name = verdict.isTimeout ? 'timeout' : 'answer-lost';
      return this.#refuse(exchange, {name, detail: verdict.reason});
    }
    const name = NOT_RUN_NAMES[verdict.reason] ?? 'not-run';
    const leftMs = this.#leftMs(exchange);
    const retryAfterMs = returnAfterMs(verdict.waitMs, leftMs);
    this.#refuse(exchange, {name, detail: verdict.reason, retryAfterMs});
  }

  #leftMs({req, startedAtMs}: Exchange): number {
    const deadlineMs = deadlineOf(req, this.#options.names) ?? 0;
    return startedAtMs + deadlineMs - performance.now();
  }

  #refuse(exchange: Exchange, refusal: Refusal): void {
    const {res, id} = exchange;
    const {name, detail, retryAfterMs} = refusal;
    const {status, ran} = REFUSALS[name];
    this.#note(exchange, status, name, {
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
    sendProblem(res, name, REFUSALS[name], {detail});
  }

  #note(
    exchange: Exchange,
    status: number,
    reason: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    const {id, routeName: route, startedAtMs} = exchange;
    const tookMs = Math.round(performance.now() - startedAtMs);
    const {log, metrics} = this.#options;
    const version = this.#options.routes()?.version;
    metrics.answered(route, status, reason, tookMs);
    const line = {id, route, status, reason, tookMs, version, ...fields};
    if (status >= 200 && status < 300) log.step('answered', line);
    else log.failure('not-served', line);
  }
}

/**
 * Calls that backend servers make carry no key. They go before all others:
 * whoever made the call holds a slot until it is answered, and all its work
 * is lost if it isn't.
 */
const INTERNAL_PRIORITY = -1;

function priorityOf(
  route: Route,
  customer: Customer | undefined,
  table: RouteTable,
): number {
  if (!customer && table.hasCustomers) return INTERNAL_PRIORITY;
  return customer?.priority ?? route.priority;
}

/** Reasons to give a request up that has not run, as callers see them. */
const NOT_RUN_NAMES: Readonly<Partial<Record<string, RefusalName>>> = {
  busy: 'busy',
  doubtful: 'not-answering',
  deadline: 'deadline',
  'no-instance': 'no-instance',
  leaving: 'no-instance',
  stopping: 'no-instance',
  silent: 'no-instance',
};

/** How long the caller waits in all, in milliseconds. */
function deadlineOf(
  req: IncomingMessage,
  names: HeaderNames,
): number | undefined {
  const ms = Number(req.headers[names.deadline]);
  return Number.isFinite(ms) && ms > 0 ? ms : undefined;
}
