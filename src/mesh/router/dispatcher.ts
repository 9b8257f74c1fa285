/**
 * Brings one admitted request to an instance and its answer back. What may
 * run only once is sent again only if it surely has not run. What may be
 * repeated is sent to a second instance when the first fails or is later than
 * usual, within the route's attempts and the budget that all daemons share;
 * the first good answer wins and the other run is cancelled.
 *
 * Pattern: instances that hang most requests for seconds while their health
 * check is good.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {Answered, Declined, Outcome, Work} from '../gate/work.js';
import type {RepeatBudget} from '../limits/repeat_budget.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {Route} from '../model.js';
import type {Gates, KnownGate} from './gates.js';
import {findSlot, type Found} from './slot_search.js';

/** A request that was admitted. */
export interface Admitted {
  readonly id: string;
  readonly route: Route;
  readonly service: string;
  readonly priority: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Monotonic clock: the route's timeout or the caller's, if earlier. */
  readonly deadlineAtMs: number;
  /** Monotonic clock: when the caller itself gives up. */
  readonly callerDeadlineAtMs: number;
  /** Aborted when the caller has gone. */
  readonly callerGone: AbortSignal;
}

/** The request gets no instance's answer. */
export interface GivenUp {
  readonly kind: 'given-up';
  readonly reason: string;
  readonly ran: 'no' | 'unknown';
  readonly isTimeout: boolean;
  /** When a slot is expected to be free. */
  readonly waitMs: number;
}

/** What becomes of a request. */
export type Verdict = Answered | GivenUp;

/** What the dispatcher is made from. */
export interface DispatcherOptions {
  readonly gates: Gates;
  readonly repeats: Pick<RepeatBudget, 'countRequest' | 'take'>;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
}

/** Searches for a gate that end in a refusal by the instance. */
const MAX_SEARCHES = 4;
/** Pause before a second instance is looked for again, in milliseconds. */
const NEXT_LOOK_MS = 60;

/** Reasons to end a run; made once, since each new one has a stack trace. */
const DEADLINE = new Error('deadline');
const OTHER_WON = new Error('another instance answered first');

/** Dispatches requests. */
export class Dispatcher {
  readonly #options: DispatcherOptions;

  constructor(options: DispatcherOptions) {
    this.#options = options;
  }

  async serve(request: Admitted): Promise<Verdict> {
    this.#options.repeats.countRequest(request.service);
    const end = new AbortController();
    const leftMs = request.deadlineAtMs - performance.now();
    const timer = setTimeout(() => end.abort(DEADLINE), Math.max(0, leftMs));
    const onGone = () => end.abort(request.callerGone.reason);
    request.callerGone.addEventListener('abort', onGone, {once: true});
    if (request.callerGone.aborted) onGone();
    const task = new Dispatch(request, this.#options, end.signal);
    try {
      return await (request.route.isIdempotent
        ? task.repeatable()
        : task.once());
    } finally {
      clearTimeout(timer);
      request.callerGone.removeEventListener('abort', onGone);
    }
  }
}

/** One run of the request at an instance. */
interface Run {
  readonly found: Found;
  readonly outcome: Promise<Outcome>;
  readonly cancel: () => void;
}

/** What the wait of a repeatable request ended with. */
type Event =
  | {readonly kind: 'outcome'; readonly run: Run; readonly outcome: Outcome}
  | {readonly kind: 'late'};

/** The way of one request. */
class Dispatch {
  readonly #request: Admitted;
  readonly #options: DispatcherOptions;
  readonly #signal: AbortSignal;
  readonly #excluded = new Set<string>();
  #attempts = 0;
  #isSent = false;
  #mayHaveRun = false;

  constructor(
    request: Admitted,
    options: DispatcherOptions,
    signal: AbortSignal,
  ) {
    this.#request = request;
    this.#options = options;
    this.#signal = signal;
  }

  /** For requests that run at most once. */
  async once(): Promise<Verdict> {
    let why: string | undefined;
    for (let search = 0; search < MAX_SEARCHES; search += 1) {
      const found = await this.#find(true);
      if (found.kind === 'declined') {
        const {reason} = found;
        if (why === undefined || reason !== 'no-instance') {
          return this.#unserved(found);
        }
        return this.#notRun(why, 0);
      }
      const outcome = await this.#start(found).outcome;
      if (outcome.kind === 'answered') return outcome;
      if (outcome.kind === 'unknown') return this.#unknown(outcome.reason);
      why = outcome.reason;
      if (outcome.hasArrived && !(await this.#mayRepeat('rejected'))) break;
    }
    return this.#notRun(why ?? 'busy', 0);
  }

  /** For requests that may run more than once. */
  async repeatable(): Promise<Verdict> {
    const first = await this.#find(true);
    if (first.kind === 'declined') return this.#unserved(first);
    const runs = new Set([this.#start(first)]);
    let lateInMs = first.reservation.lateAfterMs;
    let last: Outcome | undefined;
    for (;;) {
      const event = await this.#next(runs, lateInMs);
      if (event.kind === 'late') {
        const second = await this.#startSecond('late');
        if (second) runs.add(second);
        lateInMs = second?.found.reservation.lateAfterMs ?? NEXT_LOOK_MS;
        if (this.#isSpent) lateInMs = Infinity;
        continue;
      }
      const {run, outcome} = event;
      runs.delete(run);
      if (isGood(outcome)) {
        runs.forEach(({cancel}) => cancel());
        return outcome;
      }
      last = outcome;
      if (this.#signal.aborted) return this.#unknown('deadline');
      const next = await this.#startSecond(
        reasonText(outcome),
        runs.size === 0,
      );
      if (next) runs.add(next);
      if (runs.size === 0) return this.#failed(last);
    }
  }

  get #isSpent(): boolean {
    return this.#attempts >= this.#request.route.maxAttempts;
  }

  /** The next outcome, or that the answer is late. */
  #next(runs: ReadonlySet<Run>, lateInMs: number): Promise<Event> {
    let timer: NodeJS.Timeout | undefined;
    const outcomes = [...runs].map(async (run): Promise<Event> => {
      return {kind: 'outcome', run, outcome: await run.outcome};
    });
    const late = new Promise<Event>(resolve => {
      if (lateInMs === Infinity) return;
      timer = setTimeout(() => resolve({kind: 'late'}), lateInMs);
    });
    return Promise.race([...outcomes, late]).finally(() => clearTimeout(timer));
  }

  async #startSecond(
    reason: string,
    mayWait = false,
  ): Promise<Run | undefined> {
    if (this.#isSpent || this.#signal.aborted) return undefined;
    const found = await this.#find(mayWait);
    if (found.kind === 'declined') return undefined;
    if (await this.#mayRepeat(reason)) return this.#start(found);
    found.reservation.release();
    return undefined;
  }

  /** Takes from the budget of repeats before a further instance is used. */
  async #mayRepeat(reason: string): Promise<boolean> {
    if (this.#isSpent || this.#signal.aborted) return false;
    const {id, route, service} = this.#request;
    const {isGranted, owner} = await this.#options.repeats.take(service);
    const event = isGranted ? 'repeat' : 'repeat-over-budget';
    const line = {id, route: route.name, service, reason, owner};
    this.#options.log.step(event, line);
    if (isGranted) this.#options.metrics.repeated(route.name, reason);
    return isGranted;
  }

  #find(mayWait: boolean): Promise<Found | Declined> {
    const {id, route, service, priority, deadlineAtMs} = this.#request;
    return findSlot(this.#options.gates, {
      requestId: id,
      service,
      route: route.name,
      priority,
      objectiveMs: route.objectiveMs,
      isIdempotent: route.isIdempotent,
      bodyBytes: this.#request.body.length,
      excluded: this.#excluded,
      deadlineAtMs,
      mayWait,
      signal: this.#signal,
    });
  }

  #start(found: Found): Run {
    const {id, method, path, headers, body} = this.#request;
    const leftMs = this.#request.callerDeadlineAtMs - performance.now();
    const work: Work = {
      requestId: id,
      method,
      path,
      headers,
      body,
      leftMs,
      isRepeat: this.#isSent,
    };
    this.#isSent = true;
    const cancel = new AbortController();
    const onEnd = () => cancel.abort(this.#signal.reason);
    this.#signal.addEventListener('abort', onEnd, {once: true});
    if (this.#signal.aborted) onEnd();
    this.#attempts += 1;
    this.#excluded.add(found.vm);
    const {vm, reservation} = found;
    const {instance} = reservation;
    this.#options.log.step('sent', {
      id,
      toVm: vm,
      instance,
      leftMs: Math.round(leftMs),
    });
    const outcome = reservation.run(work, cancel.signal).then(result => {
      this.#signal.removeEventListener('abort', onEnd);
      this.#note(result, vm);
      return result;
    });
    return {found, outcome, cancel: () => cancel.abort(OTHER_WON)};
  }

  #note(outcome: Outcome, vm: string): void {
    // What an instance turned away is no attempt, only a repeat.
    if (outcome.kind === 'not-run') this.#attempts -= 1;
    else this.#mayHaveRun = true;
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

  #unserved(why: Declined): Verdict {
    const {id, service, priority} = this.#request;
    const gates = this.#options.gates.of(service);
    const ready = gates.filter(({backend}) => backend.state === 'ready');
    this.#options.log.failure('no-slot', {
      id,
      service,
      priority,
      reason: why.reason,
      waitMs: Math.round(why.waitMs),
      gates: gates.length,
      ready: ready.length,
      slots: sumOf(ready, ({backend}) => backend.slots),
      running: sumOf(ready, ({backend}) => backend.running),
      waiting: sumOf(ready, ({backend}) => backend.waiting),
      oldestHeardMs: Math.round(Math.max(0, ...ready.map(g => g.heardMs))),
    });
    if (this.#signal.aborted) return this.#notRun('deadline', why.waitMs);
    return this.#notRun(why.reason, why.waitMs);
  }

  #failed(outcome: Outcome): Verdict {
    if (outcome.kind === 'answered') return outcome;
    return this.#mayHaveRun
      ? this.#unknown(outcome.reason)
      : this.#notRun(outcome.reason, 0);
  }

  #notRun(reason: string, waitMs: number): GivenUp {
    const isTimeout = reason === 'deadline';
    return {kind: 'given-up', reason, ran: 'no', isTimeout, waitMs};
  }

  #unknown(reason: string): GivenUp {
    const isTimeout = this.#signal.aborted;
    return {kind: 'given-up', reason, ran: 'unknown', isTimeout, waitMs: 0};
  }
}

function sumOf(
  gates: readonly KnownGate[],
  valueOf: (gate: KnownGate) => number,
): number {
  return gates.reduce((sum, gate) => sum + valueOf(gate), 0);
}

function isGood(outcome: Outcome): outcome is Answered {
  return outcome.kind === 'answered' && outcome.status < 500;
}

function reasonText(outcome: Outcome): string {
  return outcome.kind === 'answered' ? 'error' : outcome.kind;
}
