/**
 * Applies the {@link HedgePolicy} to the requests of a router: it collects what
 * the policy decides by, and counts and logs what becomes of each hedge.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {Declined, Outcome} from '../gate/work.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {Route} from '../model.js';
import type {QueryOfDeathGuard} from './query_of_death.js';
import {hasFreeSlot, type Candidate} from './gate_ranking.js';
import type {HedgeToken} from './hedge_limit.js';
import {
  FINAL_REFUSALS,
  type HedgePolicy,
  type HedgeRefusal,
  type ServiceLoad,
} from './hedge_policy.js';

/** What the hedging of one request depends on. */
export interface HedgeableRequest {
  readonly id: string;
  readonly fingerprint: string;
  readonly route: Route;
  readonly service: string;
  /** Monotonic clock. */
  readonly deadlineAtMs: number;
}

/** A gate, as far as hedging depends on it. */
export interface HedgeCandidate extends Candidate {
  readonly vm: string;
}

/** Options of {@link HedgedRequest}. */
export interface HedgedRequestOptions {
  readonly policy: HedgePolicy;
  readonly gates: {forService(service: string): readonly HedgeCandidate[]};
  readonly quarantine: Pick<QueryOfDeathGuard, 'isQuarantined'>;
  readonly log: DecisionLog;
  readonly metrics: Pick<MeshMetrics, 'recordHedge' | 'recordHedgeRefusal'>;
  /** Monotonic clock in milliseconds; tests use a virtual one. */
  readonly now?: () => number;
}

/** Pause until a slow request that was refused a hedge asks again. */
const ASK_PAUSE_MS = 60;

/** The hedging of one request. */
export class HedgedRequest {
  readonly #request: HedgeableRequest;
  readonly #options: HedgedRequestOptions;
  readonly #now: () => number;
  /** Reasons that were counted; a request asks many times. */
  readonly #refusals = new Set<HedgeRefusal>();
  #gateLateAfterMs = Infinity;
  #started = 0;
  #hasWon = false;

  constructor(request: HedgeableRequest, options: HedgedRequestOptions) {
    this.#request = request;
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** When a request counts as slow at an instance, after it was sent there. */
  slowAfterMs(gateLateAfterMs: number): number {
    this.#gateLateAfterMs = gateLateAfterMs;
    const {policy} = this.#options;
    return policy.slowAfterMs(this.#request.route.name, gateLateAfterMs);
  }

  /**
   * Reserves a token if a slot for a hedge may be searched for now. The token
   * belongs to one start, since a withdrawn one may end after the next began.
   */
  reserve(excluded: ReadonlySet<string>): HedgeToken | undefined {
    const {policy, quarantine, gates} = this.#options;
    const {route, service, fingerprint, deadlineAtMs} = this.#request;
    const candidates = gates.forService(service);
    const decision = policy.decide({
      route: route.name,
      service,
      isIdempotent: route.isIdempotent,
      isQuarantined: quarantine.isQuarantined(fingerprint),
      leftMs: deadlineAtMs - this.#now(),
      gateLateAfterMs: this.#gateLateAfterMs,
      load: loadOf(candidates, excluded),
    });
    if (decision.kind === 'granted') return decision.token;
    this.refuse(decision.reason);
    return undefined;
  }

  /** Called when the hedge with the token is sent. */
  recordStart(token: HedgeToken): void {
    token.use();
    this.#started += 1;
    const {id, route, service} = this.#request;
    const {policy, log, metrics} = this.#options;
    metrics.recordHedge(route.name, 'started');
    const slowAfterMs = policy.slowAfterMs(route.name, this.#gateLateAfterMs);
    const fields = {id, route: route.name, service};
    log.step('hedge', {...fields, slowAfterMs: Math.round(slowAfterMs)});
  }

  /** Called when the response of a hedge is used. */
  recordWin(): void {
    this.#hasWon = true;
  }

  /**
   * Records the response time of the first instance. One that was cancelled
   * counts as well if it was slow: without the slowest samples the quantile
   * would fall, more requests would count as slow, and it would fall further.
   */
  recordFirstResponse(outcome: Outcome, tookMs: number): void {
    const {policy} = this.#options;
    const {name} = this.#request.route;
    const isAnswered = outcome.kind === 'answered' && outcome.status < 500;
    const isCancelledSlow =
      outcome.kind === 'unknown' &&
      outcome.reason === 'cancelled' &&
      tookMs >= policy.slowAfterMs(name, this.#gateLateAfterMs);
    if (isAnswered || isCancelledSlow) policy.recordResponse(name, tookMs);
  }

  /** Pause until the request asks for a hedge again. */
  get pauseMs(): number {
    const isFinal = [...this.#refusals].some(r => FINAL_REFUSALS.has(r));
    return isFinal ? Infinity : ASK_PAUSE_MS;
  }

  /** Called when the request is over: counts what became of its hedges. */
  end(): void {
    if (this.#started === 0) return;
    const {id, route} = this.#request;
    const {metrics, log} = this.#options;
    const lost = this.#started - (this.#hasWon ? 1 : 0);
    if (this.#hasWon) metrics.recordHedge(route.name, 'won');
    Array.from({length: lost}, () => metrics.recordHedge(route.name, 'lost'));
    const fields = {id, route: route.name, isWon: this.#hasWon, lost};
    log.step('hedge-ended', fields);
  }

  /** Counts and logs why no hedge is sent, once for each reason. */
  refuse(reason: HedgeRefusal): void {
    if (this.#refusals.has(reason)) return;
    this.#refusals.add(reason);
    const {id, route, service} = this.#request;
    this.#options.metrics.recordHedgeRefusal(route.name, reason);
    const fields = {id, route: route.name, service, reason};
    this.#options.log.step('hedge-refused', fields);
  }
}

/** Why a declined reservation refuses a hedge. */
export function refusalOf({reason}: Declined): HedgeRefusal {
  return reason === 'daemon-stopping' ? 'stopping' : 'full';
}

/** The load of a service, and whether there is a slot for a further send. */
export function loadOf(
  candidates: readonly HedgeCandidate[],
  excluded: ReadonlySet<string>,
): ServiceLoad {
  const ready = candidates.filter(({backend}) => backend.state === 'ready');
  const requestsAt = ({backend, outstanding}: HedgeCandidate) =>
    backend.running + backend.waiting + outstanding;
  return {
    slots: ready.reduce((sum, {backend}) => sum + backend.slots, 0),
    requests: ready.reduce((sum, gate) => sum + requestsAt(gate), 0),
    hasOtherFreeSlot: ready.some(
      gate =>
        !excluded.has(gate.vm) &&
        gate.backend.trust !== 'suspect' &&
        hasFreeSlot(gate),
    ),
  };
}
