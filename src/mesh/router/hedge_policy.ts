/**
 * Decides when a request counts as slow, and whether it may then be sent to a
 * second instance (a hedged request). A request is slow when it takes longer
 * than a quantile of its route's recent response times, over all instances that
 * this router used. Hedges have low precedence: they stay within a share of the
 * requests to the service, leave tokens of the retry budget to repeats after
 * failures, and stop when the instances of the service are mostly full.
 *
 * Designed for few slow responses among many fast ones. When all instances are
 * slow at once, the quantile rises and the share bounds the extra work.
 */
import {HedgeLimit, type HedgeToken} from './hedge_limit.js';
import {ResponseSketch} from './response_sketch.js';

/** What operators set; see docs/OPERATIONS.md. */
export interface HedgingSettings {
  /** Hedges for each request to a service, 0 to 1. */
  readonly maxExtraShare: number;
  /** Quantile of the response times from which a request is slow. */
  readonly quantile: number;
}

/** Load of a service's instances, by the last status of their gates. */
export interface ServiceLoad {
  readonly slots: number;
  /** Requests that hold a slot or wait for one. */
  readonly requests: number;
  /** Whether an instance without this request has a free slot now. */
  readonly hasOtherFreeSlot: boolean;
}

/** A slow request. */
export interface SlowRequest {
  readonly route: string;
  readonly service: string;
  readonly isIdempotent: boolean;
  readonly isQuarantined: boolean;
  /** Time left until the caller, or its route, times out. */
  readonly leftMs: number;
  /** The gate's estimate, which decides while there are few samples. */
  readonly gateLateAfterMs: number;
  readonly load: ServiceLoad;
}

/** Why a slow request gets no hedge. */
export type HedgeRefusal =
  | 'budget'
  | 'full'
  | 'limit'
  | 'once'
  | 'quarantined'
  | 'stopping'
  | 'time'
  | 'withdrawn';

/** Refusals that later events can't change. */
export const FINAL_REFUSALS: ReadonlySet<HedgeRefusal> = new Set<HedgeRefusal>([
  'once',
  'quarantined',
  'stopping',
  'time',
]);

/** Whether a hedge may be started. */
export type HedgeDecision =
  | {readonly kind: 'granted'; readonly token: HedgeToken}
  | {readonly kind: 'refused'; readonly reason: HedgeRefusal};

/** Fewer samples don't describe a route. */
const MIN_SAMPLES = 20;
/** Samples above the quantile that a usable estimate of it needs. */
const MIN_SAMPLES_ABOVE = 2;
/** Minimum number of the last samples of a route that are kept. */
const MIN_GENERATION_SAMPLES = 100;
/** A shorter time may be a delay of this process, not of the instance. */
const MIN_SLOW_MS = 10;
/** Share of a service's slots in use from which no hedge is started. */
const MAX_USED_SHARE = 0.7;
/** After the retry budget refused a repeat, no hedge asks for a token. */
const BUDGET_PAUSE_MS = 1000;
/** Tokens of the retry budget that a hedge leaves to repeats after failures. */
export const HEDGE_SPARE_TOKENS = 3;

interface ServiceState {
  readonly limit: HedgeLimit;
  budgetPausedUntilMs: number;
}

/** The hedging decisions of one router. */
export class HedgePolicy {
  readonly #settings: HedgingSettings;
  readonly #now: () => number;
  readonly #minSamples: number;
  readonly #sketches = new Map<string, ResponseSketch>();
  readonly #services = new Map<string, ServiceState>();

  /** `now` is a monotonic clock in milliseconds. */
  constructor(
    settings: HedgingSettings,
    now: () => number = () => performance.now(),
  ) {
    this.#settings = settings;
    this.#now = now;
    const aboveShare = 1 - settings.quantile;
    const minSamples = Math.ceil(MIN_SAMPLES_ABOVE / aboveShare);
    this.#minSamples = Math.max(MIN_SAMPLES, minSamples);
  }

  /** Counts a request that was sent to its first instance. */
  countRequest(service: string): void {
    this.#serviceOf(service).limit.countRequest();
  }

  /** Records how long a first instance took, or at least took. */
  recordResponse(route: string, tookMs: number): void {
    const nowMs = this.#now();
    const size = Math.max(MIN_GENERATION_SAMPLES, this.#minSamples);
    const sketch = this.#sketches.get(route) ?? new ResponseSketch(size, nowMs);
    this.#sketches.set(route, sketch);
    sketch.add(tookMs, nowMs);
  }

  /** Records that the retry budget refused a repeat. */
  recordBudgetRefusal(service: string): void {
    const state = this.#serviceOf(service);
    state.budgetPausedUntilMs = this.#now() + BUDGET_PAUSE_MS;
  }

  /** Time after sending from which a request is slow. */
  slowAfterMs(route: string, gateLateAfterMs: number): number {
    const quantileMs = this.#quantileMs(route, this.#settings.quantile);
    return Math.max(MIN_SLOW_MS, quantileMs ?? gateLateAfterMs);
  }

  /** Decides about a slow request; a granted token must be ended. */
  decide(request: SlowRequest): HedgeDecision {
    const reason = this.#refusalOf(request);
    if (reason) return {kind: 'refused', reason};
    const token = this.#serviceOf(request.service).limit.reserve();
    if (!token) return {kind: 'refused', reason: 'limit'};
    return {kind: 'granted', token};
  }

  #refusalOf(request: SlowRequest): HedgeRefusal | undefined {
    const {route, service, leftMs, gateLateAfterMs, load} = request;
    if (!request.isIdempotent) return 'once';
    if (request.isQuarantined) return 'quarantined';
    const usualMs = this.#quantileMs(route, 0.5) ?? gateLateAfterMs;
    if (leftMs < usualMs) return 'time';
    const isMostlyFull = load.requests >= MAX_USED_SHARE * load.slots;
    if (isMostlyFull || !load.hasOtherFreeSlot) return 'full';
    const {budgetPausedUntilMs} = this.#serviceOf(service);
    return this.#now() < budgetPausedUntilMs ? 'budget' : undefined;
  }

  /** Undefined while there are too few samples. */
  #quantileMs(route: string, share: number): number | undefined {
    const sketch = this.#sketches.get(route);
    const nowMs = this.#now();
    if (!sketch || sketch.sizeAt(nowMs) < this.#minSamples) return undefined;
    return sketch.quantile(share, nowMs);
  }

  #serviceOf(service: string): ServiceState {
    const known = this.#services.get(service);
    if (known) return known;
    const limit = new HedgeLimit(this.#settings.maxExtraShare);
    const state = {limit, budgetPausedUntilMs: -Infinity};
    this.#services.set(service, state);
    return state;
  }
}
