/**
 * Sends an admitted request to an instance and returns its response. A request
 * that isn't idempotent is sent again only if it is certain that it was not
 * executed. An idempotent one is repeated, that is sent to a further instance,
 * when the first one fails or responds later than usual (a hedged request).
 * Repeats are limited by the route's attempts and by the retry budget that all
 * daemons share; with the setting `hedging`, {@link HedgePolicy} decides when a
 * request is late and whether it may be repeated then. The first good response
 * is used and the other attempts are cancelled.
 *
 * Designed for instances that hang on most requests for seconds while their
 * health checks pass.
 */
import {reasonOf} from '../../errors/failure.js';
import type {DecisionLog} from '../../log/decision_log.js';
import {
  declined,
  type Answered,
  type Declined,
  type Outcome,
  type Work,
} from '../gate/work.js';
import type {CustomerShares} from '../gate/queue_place.js';
import type {RepeatBudget} from '../limits/repeat_budget.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {Route} from '../model.js';
import {ResponseTimeout} from '../../timing/response_timeout.js';
import type {StopDeadline} from '../../router/stop_deadline.js';
import type {Gates, GateCandidate} from './gates.js';
import {
  HEDGE_SPARE_TOKENS,
  type HedgePolicy,
  type HedgeRefusal,
} from './hedge_policy.js';
import type {HedgeToken} from './hedge_limit.js';
import {HedgedRequest, refusalOf} from './hedged_request.js';
import type {QueryOfDeathGuard} from './query_of_death.js';
import {findSlot, type FoundSlot} from './slot_search.js';

/** A request that passed admission control. */
export interface AdmittedRequest {
  readonly id: string;
  /** The same for all attempts at the same piece of work. */
  readonly fingerprint: string;
  readonly route: Route;
  readonly service: string;
  readonly priority: number;
  readonly customer?: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic clock: the route's timeout or the caller's, if earlier. */
  readonly deadlineAtMs: number;
  /** Monotonic clock: when the caller itself times out. */
  readonly callerDeadlineAtMs: number;
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
}

/** No instance's response can be returned to the caller. */
export interface DispatchFailure {
  readonly kind: 'failed';
  readonly reason: string;
  readonly ran: 'no' | 'unknown';
  readonly isTimeout: boolean;
  /** Time until a slot is expected to be free. */
  readonly waitMs: number;
}

export type DispatchResult = Answered | DispatchFailure;

export interface DispatcherOptions {
  readonly gates: Pick<Gates, 'forService' | 'linkStates'>;
  readonly repeats: Pick<RepeatBudget, 'countRequest' | 'take'>;
  readonly quarantine: Pick<
    QueryOfDeathGuard,
    'isQuarantined' | 'recordEnd' | 'recordSuccess'
  >;
  readonly stop: StopDeadline;
  /** Gates get the customer only with equal shares; `none` if omitted. */
  readonly customerShares?: CustomerShares;
  /** Undefined: late requests are repeated by the gates' estimates alone. */
  readonly hedging?: HedgePolicy;
  readonly log: DecisionLog;
  readonly metrics: Pick<
    MeshMetrics,
    | 'recordRepeat'
    | 'recordRepeatOverBudget'
    | 'recordHedge'
    | 'recordHedgeRefusal'
  >;
}

/**
 * Priority of requests from backend servers, which carry no API key. They come
 * before all others: the backend server that sent one occupies a slot until it
 * gets the response, and all its work is lost if it gets none.
 */
export const INTERNAL_PRIORITY = -1;

/** A non-idempotent request fails when this many instances have rejected it. */
const MAX_SLOT_SEARCHES = 4;
/** Pause until a slot for a repeat is searched for again. */
const REPEAT_SEARCH_PAUSE_MS = 60;

/**
 * When to retry a request that is refused because of a planned stop: after two
 * polls of readiness, a second apart, callers are sent to other VMs.
 */
export const STOPPING_WAIT_MS = 1000;

/** Abort reasons; constants, since each new `Error` captures a stack trace. */
const DEADLINE_EXCEEDED = new Error('deadline');
const TOO_LATE_TO_START = new Error('the daemon stops before it could end');
const ANSWERED_ELSEWHERE = new Error('another instance answered first');

export class Dispatcher {
  readonly #options: DispatcherOptions;
  readonly #usualTimes = new UsualTimes();

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  /** Whether a request on a route can end before a planned stop does. */
  canFinish(route: Route, deadlineAtMs: number): boolean {
    const {stop} = this.#options;
    const boundMs = this.#usualTimes.boundMs(route, deadlineAtMs, stop.isLate);
    return stop.allows(boundMs);
  }

  /** Dispatches a request until it succeeds, fails, or is aborted. */
  async serve(request: AdmittedRequest): Promise<DispatchResult> {
    const isCall = isCallOfInstance(request);
    this.#options.repeats.countRequest(request.service, isCall);
    const abortController = new AbortController();
    const leftMs = request.deadlineAtMs - performance.now();
    const timer = setTimeout(
      () => abortController.abort(DEADLINE_EXCEEDED),
      Math.max(0, leftMs),
    );
    const onCallerAbort = () =>
      abortController.abort(request.callerSignal.reason);
    request.callerSignal.addEventListener('abort', onCallerAbort, {once: true});
    if (request.callerSignal.aborted) onCallerAbort();
    const {stop} = this.#options;
    const onStopEnd = () => abortController.abort(DEADLINE_EXCEEDED);
    stop.signal.addEventListener('abort', onStopEnd, {once: true});
    const dispatch = new Dispatch(
      request,
      {...this.#options, usualTimes: this.#usualTimes},
      abortController.signal,
    );
    try {
      return await (request.route.isIdempotent
        ? dispatch.runIdempotent()
        : dispatch.runOnce());
    } finally {
      clearTimeout(timer);
      request.callerSignal.removeEventListener('abort', onCallerAbort);
      stop.signal.removeEventListener('abort', onStopEnd);
    }
  }
}

/** How long requests on each route usually take once they are sent. */
class UsualTimes {
  readonly #msByRoute = new Map<string, number>();

  /** Records what a gate reported for the route. */
  record({name}: Route, usualMs: number): void {
    this.#msByRoute.set(name, usualMs);
  }

  /**
   * How long a request may take from now on. If it may run only once, a planned
   * stop must not cut it off, so late in a stop only its own deadline is a
   * bound. Early in a stop it has several times its usual time left.
   */
  boundMs(route: Route, deadlineAtMs: number, isStopLate: boolean): number {
    if (route.isIdempotent || !isStopLate) return this.#usualMs(route);
    return Math.max(0, deadlineAtMs - performance.now());
  }

  /** The objective until a gate has reported. */
  #usualMs({name, objectiveMs}: Route): number {
    return this.#msByRoute.get(name) ?? objectiveMs;
  }
}

/** Whether a request comes from a backend server. */
function isCallOfInstance({priority}: AdmittedRequest): boolean {
  return priority === INTERNAL_PRIORITY;
}

/** One attempt: the request at one instance. */
interface Attempt {
  readonly found: FoundSlot;
  readonly isHedge: boolean;
  readonly outcome: Promise<Outcome>;
  readonly cancel: () => void;
}

/** A hedge that is being started while the other attempts go on. */
interface StartingHedge {
  /** Undefined if it isn't sent. */
  readonly attempt: Promise<Attempt | undefined>;
  /** An outcome arrived, so the hedge isn't sent any more. */
  readonly withdraw: () => void;
}

/** What ended the wait of an idempotent request. */
type WaitEvent =
  | {
      readonly kind: 'outcome';
      readonly attempt: Attempt;
      readonly outcome: Outcome;
    }
  | LateEvent;

/** The response is late, or the start of a hedge for it has ended. */
type LateEvent =
  | {readonly kind: 'late'}
  | {readonly kind: 'hedge'; readonly hedge: Attempt | undefined};

interface DispatchOptions extends DispatcherOptions {
  readonly usualTimes: UsualTimes;
}

/** The state of one request while it is dispatched. */
class Dispatch {
  readonly #request: AdmittedRequest;
  readonly #options: DispatchOptions;
  readonly #signal: AbortSignal;
  readonly #hedged: HedgedRequest | undefined;
  /** In flight. */
  readonly #attempts = new Set<Attempt>();
  readonly #excluded = new Set<string>();
  #attemptCount = 0;
  #wasSent = false;
  #mayHaveRun = false;

  constructor(
    request: AdmittedRequest,
    options: DispatchOptions,
    signal: AbortSignal,
  ) {
    this.#request = request;
    this.#options = options;
    this.#signal = signal;
    const {hedging: policy} = options;
    const mayHedge = policy && request.route.isIdempotent;
    this.#hedged = mayHedge
      ? new HedgedRequest(request, {...options, policy})
      : undefined;
  }

  /** Dispatches a request that must be executed at most once. */
  async runOnce(): Promise<DispatchResult> {
    let lastReason: string | undefined;
    for (let search = 0; search < MAX_SLOT_SEARCHES; search += 1) {
      const found = await this.#findSlot(true);
      if (found.kind === 'declined') {
        const {reason} = found;
        if (lastReason === undefined || reason !== 'no-instance') {
          return this.#failWithoutSlot(found);
        }
        return this.#notRun(lastReason, 0);
      }
      const outcome = await this.#startAttempt(found).outcome;
      if (outcome.kind === 'answered') return outcome;
      if (outcome.kind === 'unknown') return this.#unknown(outcome.reason);
      lastReason = outcome.reason;
      if (outcome.hasArrived && !(await this.#takeToken('rejected'))) break;
    }
    return this.#notRun(lastReason ?? 'busy', 0);
  }

  /** Dispatches a request that may be executed more than once. */
  async runIdempotent(): Promise<DispatchResult> {
    const first = await this.#findSlot(true);
    if (first.kind === 'declined') return this.#failWithoutSlot(first);
    this.#attempts.add(this.#startAttempt(first));
    try {
      return await this.#awaitAnswer(this.#lateAfterMs(first));
    } finally {
      this.#hedged?.end();
    }
  }

  async #awaitAnswer(firstDelayMs: number): Promise<DispatchResult> {
    const attempts = this.#attempts;
    let hedgeDelayMs = firstDelayMs;
    let hedge: StartingHedge | undefined;
    for (;;) {
      const event = await this.#nextEvent(hedgeDelayMs, hedge);
      if (event.kind === 'late' && this.#hedged) {
        hedge = this.#startHedge(this.#hedged);
        hedgeDelayMs = Infinity;
        continue;
      }
      if (event.kind !== 'outcome') {
        hedge = undefined;
        hedgeDelayMs = await this.#nextHedgeDelayMs(event);
        continue;
      }
      const {attempt, outcome} = event;
      attempts.delete(attempt);
      hedge?.withdraw();
      hedge = undefined;
      if (isSuccess(outcome)) {
        if (attempt.isHedge) this.#hedged?.recordWin();
        attempts.forEach(({cancel}) => cancel());
        return outcome;
      }
      if (this.#signal.aborted) return this.#unknown('deadline');
      const repeat = await this.#startRepeat(
        repeatReasonOf(outcome),
        attempts.size === 0,
      );
      if (repeat) attempts.add(repeat);
      if (attempts.size === 0) return this.#finalResult(outcome);
      if (this.#hedged) hedgeDelayMs = this.#lateAfterMs(repeat?.found);
    }
  }

  /** Repeats a late request if hedging is off; returns the next delay. */
  async #nextHedgeDelayMs(event: LateEvent): Promise<number> {
    const repeat =
      event.kind === 'late' ? await this.#startRepeat('late') : event.hedge;
    if (repeat) this.#attempts.add(repeat);
    if (this.#isOutOfAttempts) return Infinity;
    if (repeat) return this.#lateAfterMs(repeat.found);
    return this.#hedged?.pauseMs ?? REPEAT_SEARCH_PAUSE_MS;
  }

  /** Time after which a response of a slot's instance is late. */
  #lateAfterMs(found: FoundSlot | undefined): number {
    if (!found) return this.#hedged?.pauseMs ?? REPEAT_SEARCH_PAUSE_MS;
    const {lateAfterMs} = found.reservation;
    return this.#hedged?.slowAfterMs(lateAfterMs) ?? lateAfterMs;
  }

  /** Starts a hedge, unless an outcome arrives before it is sent. */
  #startHedge(hedged: HedgedRequest): StartingHedge {
    const withdrawal = new AbortController();
    const attempt = this.#sendHedge(hedged, withdrawal.signal).catch(
      (err: unknown) => {
        const {id} = this.#request;
        this.#options.log.failure('hedge-failed', {id, reason: reasonOf(err)});
        return undefined;
      },
    );
    return {attempt, withdraw: () => withdrawal.abort(ANSWERED_ELSEWHERE)};
  }

  async #sendHedge(
    hedged: HedgedRequest,
    withdrawn: AbortSignal,
  ): Promise<Attempt | undefined> {
    const isOver = () =>
      withdrawn.aborted || this.#signal.aborted || this.#isOutOfAttempts;
    if (isOver()) return undefined;
    const token = hedged.reserve(this.#excluded);
    if (!token) return undefined;
    let found: FoundSlot | Declined | undefined;
    let refusal: HedgeRefusal = 'withdrawn';
    let attempt: Attempt | undefined;
    try {
      found = await this.#findSlot(false, withdrawn);
      if (isOver()) return undefined;
      if (found.kind === 'declined') refusal = refusalOf(found);
      if (found.kind === 'declined') return undefined;
      if (!(await this.#takeToken('late'))) refusal = 'budget';
      if (refusal === 'budget' || isOver()) return undefined;
      attempt = this.#startAttempt(found, token);
      // Now, since an outcome may be processed before this promise resolves.
      this.#attempts.add(attempt);
      return attempt;
    } finally {
      if (!attempt) {
        token.release();
        hedged.refuse(refusal);
        if (found?.kind === 'found') found.reservation.release();
      }
    }
  }

  get #isOutOfAttempts(): boolean {
    return this.#attemptCount >= this.#request.route.maxAttempts;
  }

  /** Waits for the next outcome, or until the response is later than usual. */
  #nextEvent(
    hedgeDelayMs: number,
    starting: StartingHedge | undefined,
  ): Promise<WaitEvent> {
    let timeout: ResponseTimeout | undefined;
    const outcomes = [...this.#attempts].map(
      async (attempt): Promise<WaitEvent> => {
        return {kind: 'outcome', attempt, outcome: await attempt.outcome};
      },
    );
    const hedges = [starting?.attempt ?? []]
      .flat()
      .map(async (attempt): Promise<WaitEvent> => {
        return {kind: 'hedge', hedge: await attempt};
      });
    const late = new Promise<WaitEvent>(resolve => {
      if (hedgeDelayMs === Infinity) return;
      timeout = new ResponseTimeout(hedgeDelayMs, () =>
        resolve({kind: 'late'}),
      );
    });
    const events = [...outcomes, ...hedges, late];
    return Promise.race(events).finally(() => timeout?.cancel());
  }

  async #startRepeat(
    reason: string,
    mayWait = false,
  ): Promise<Attempt | undefined> {
    if (this.#isOutOfAttempts || this.#signal.aborted) return undefined;
    const {quarantine} = this.#options;
    if (quarantine.isQuarantined(this.#request.fingerprint)) return undefined;
    const found = await this.#findSlot(mayWait);
    if (found.kind === 'declined') return undefined;
    if (await this.#takeToken(reason)) return this.#startAttempt(found);
    found.reservation.release();
    return undefined;
  }

  /** Takes a token from the retry budget, which each repeat needs. */
  async #takeToken(reason: string): Promise<boolean> {
    if (this.#isOutOfAttempts || this.#signal.aborted) return false;
    const {id, route, service} = this.#request;
    const {repeats, hedging} = this.#options;
    const isCall = isCallOfInstance(this.#request);
    const spareTokens = hedging && reason === 'late' ? HEDGE_SPARE_TOKENS : 0;
    const sender = {isCall, spareTokens};
    const {isGranted, owner} = await repeats.take(service, sender);
    if (!isGranted) hedging?.recordBudgetRefusal(service);
    const event = isGranted ? 'repeat' : 'repeat-over-budget';
    const fields = {id, route: route.name, service, reason, owner, isCall};
    const {log, metrics} = this.#options;
    log.step(event, fields);
    if (isGranted) metrics.recordRepeat(route.name, reason);
    else metrics.recordRepeatOverBudget(isCall);
    return isGranted;
  }

  /**
   * Searches for a slot, as long as the request could still be executed and the
   * search isn't withdrawn.
   */
  async #findSlot(
    mayWait: boolean,
    withdrawn?: AbortSignal,
  ): Promise<FoundSlot | Declined> {
    const {stop, usualTimes} = this.#options;
    const {route, deadlineAtMs} = this.#request;
    const boundMs = () => usualTimes.boundMs(route, deadlineAtMs, stop.isLate);
    const tooLate = declined('daemon-stopping', STOPPING_WAIT_MS);
    if (!stop.allows(boundMs())) return tooLate;
    const search = new AbortController();
    const onAbort = () => search.abort(this.#signal.reason);
    const onWithdrawn = () => search.abort(withdrawn?.reason);
    this.#signal.addEventListener('abort', onAbort, {once: true});
    withdrawn?.addEventListener('abort', onWithdrawn, {once: true});
    if (this.#signal.aborted) onAbort();
    const unwatch = stop.watch(boundMs, () => search.abort(TOO_LATE_TO_START));
    try {
      const found = await this.#searchSlot(mayWait, search.signal);
      const isTooLate =
        search.signal.reason === TOO_LATE_TO_START || !stop.allows(boundMs());
      if (isTooLate) {
        if (found.kind === 'found') found.reservation.release();
        return tooLate;
      }
      if (found.kind === 'declined') return found;
      usualTimes.record(route, found.reservation.lateAfterMs);
      return found;
    } finally {
      unwatch();
      this.#signal.removeEventListener('abort', onAbort);
      withdrawn?.removeEventListener('abort', onWithdrawn);
    }
  }

  #searchSlot(
    mayWait: boolean,
    signal: AbortSignal,
  ): Promise<FoundSlot | Declined> {
    const {id, route, service, priority, deadlineAtMs} = this.#request;
    const {gates, customerShares} = this.#options;
    const hasShares = customerShares === 'equal';
    return findSlot(gates, {
      requestId: id,
      service,
      route: route.name,
      priority,
      customer: hasShares ? this.#request.customer : undefined,
      objectiveMs: route.objectiveMs,
      isIdempotent: route.isIdempotent,
      bodyBytes: this.#request.body.length,
      excluded: this.#excluded,
      deadlineAtMs,
      mayWait,
      signal,
    });
  }

  #startAttempt(found: FoundSlot, hedgeToken?: HedgeToken): Attempt {
    const {id, method, path, headers, body, service} = this.#request;
    const leftMs = this.#request.callerDeadlineAtMs - performance.now();
    const work: Work = {
      requestId: id,
      method,
      path,
      headers,
      body,
      leftMs,
      isRepeat: this.#wasSent,
    };
    const isFirst = !this.#wasSent;
    this.#wasSent = true;
    if (isFirst) this.#options.hedging?.countRequest(service);
    if (hedgeToken) this.#hedged?.recordStart(hedgeToken);
    const sentAtMs = performance.now();
    const controller = new AbortController();
    const onAbort = () => controller.abort(this.#signal.reason);
    this.#signal.addEventListener('abort', onAbort, {once: true});
    if (this.#signal.aborted) onAbort();
    this.#attemptCount += 1;
    this.#excluded.add(found.vm);
    const {vm, reservation} = found;
    const {instance} = reservation;
    this.#options.log.step('sent', {
      id,
      toVm: vm,
      instance,
      leftMs: Math.round(leftMs),
    });
    const outcome = reservation.run(work, controller.signal).then(result => {
      this.#signal.removeEventListener('abort', onAbort);
      this.#recordOutcome(result, vm);
      const tookMs = performance.now() - sentAtMs;
      if (isFirst) this.#hedged?.recordFirstResponse(result, tookMs);
      return result;
    });
    const cancel = () => controller.abort(ANSWERED_ELSEWHERE);
    return {found, isHedge: hedgeToken !== undefined, outcome, cancel};
  }

  #recordOutcome(outcome: Outcome, vm: string): void {
    // A rejected request doesn't count as an attempt, only as a repeat.
    if (outcome.kind === 'not-run') this.#attemptCount -= 1;
    else this.#mayHaveRun = true;
    this.#recordEvidence(outcome);
    if (outcome.kind === 'answered' || outcome.reason === 'cancelled') return;
    const {id} = this.#request;
    const {kind, instance, reason} = outcome;
    this.#options.log.failure('run-failed', {
      id,
      atVm: vm,
      instance,
      kind,
      reason,
    });
  }

  /** Records whether the request ends the instances that run it. */
  #recordEvidence(outcome: Outcome): void {
    const {quarantine} = this.#options;
    const {id, fingerprint} = this.#request;
    if (isSuccess(outcome)) quarantine.recordSuccess(fingerprint);
    if (outcome.kind !== 'unknown' || !outcome.hasInstanceEnded) return;
    quarantine.recordEnd(fingerprint, outcome.instance, id);
  }

  #failWithoutSlot(declined: Declined): DispatchResult {
    const {id, service, priority} = this.#request;
    const gates = this.#options.gates.forService(service);
    const ready = gates.filter(({backend}) => backend.state === 'ready');
    this.#options.log.failure('no-slot', {
      id,
      service,
      priority,
      reason: declined.reason,
      waitMs: Math.round(declined.waitMs),
      gates: gates.length,
      ready: ready.length,
      slots: sumOf(ready, ({backend}) => backend.slots),
      running: sumOf(ready, ({backend}) => backend.running),
      waiting: sumOf(ready, ({backend}) => backend.waiting),
      links: this.#options.gates.linkStates,
      oldestHeardMs: Math.round(Math.max(0, ...ready.map(g => g.statusAgeMs))),
    });
    if (this.#signal.aborted) return this.#notRun('deadline', declined.waitMs);
    return this.#notRun(declined.reason, declined.waitMs);
  }

  #finalResult(outcome: Outcome): DispatchResult {
    if (outcome.kind === 'answered') return outcome;
    return this.#mayHaveRun
      ? this.#unknown(outcome.reason)
      : this.#notRun(outcome.reason, 0);
  }

  #notRun(reason: string, waitMs: number): DispatchFailure {
    const isTimeout = reason === 'deadline';
    return {kind: 'failed', reason, ran: 'no', isTimeout, waitMs};
  }

  #unknown(reason: string): DispatchFailure {
    const isTimeout = this.#signal.aborted;
    return {kind: 'failed', reason, ran: 'unknown', isTimeout, waitMs: 0};
  }
}

function sumOf(
  gates: readonly GateCandidate[],
  valueOf: (gate: GateCandidate) => number,
): number {
  return gates.reduce((sum, gate) => sum + valueOf(gate), 0);
}

function isSuccess(outcome: Outcome): outcome is Answered {
  return outcome.kind === 'answered' && outcome.status < 500;
}

function repeatReasonOf(outcome: Outcome): string {
  return outcome.kind === 'answered' ? 'error' : outcome.kind;
}
