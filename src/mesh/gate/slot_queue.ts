/**
 * The slots of one instance and the queue of requests that wait for one. The
 * most urgent request goes first, then the oldest, or with equal shares the one
 * whose customer is next. A request that is not expected to get a slot within
 * its queue timeout is declined on arrival, not after waiting. While the
 * instance names a rate limit or is cold, a request needs its turn within the
 * lower limit as well as a slot.
 */
import type {TurnLimit} from './cold_pacing.js';
import {FairQueue, type Place} from './fair_queue.js';
import {createFairTurns, type Task} from './fair_turns.js';
import {HoldTimes} from './hold_times.js';
import {createPlace, type CustomerShares} from './queue_place.js';
import {RatePacer} from './rate_pacer.js';
import {estimateWaitMs, usualWaitMs, type LoadAhead} from './wait_estimate.js';
import {declined, type Declined} from './work.js';

/** A held slot. */
export interface Slot {
  readonly kind: 'slot';
  /** Releases the slot after its request. */
  release(): void;
  /** Releases the slot if no request was sent. */
  releaseUnused(): void;
}

/** A request that wants a slot. */
export interface Waiter {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly queueTimeoutMs: number;
  readonly signal: AbortSignal;
  readonly requestId?: string;
  readonly route?: string;
  /** Undefined: one of the group of requests without a customer. */
  readonly customer?: string;
}

/** How a request left the queue. */
export interface QueueEnd {
  readonly result: 'slot' | 'refused' | 'timeout' | 'withdrawn';
  readonly waitedMs: number;
  /** The estimate on arrival. */
  readonly expectedMs: number;
}

/** Options of {@link SlotQueue}. */
export interface SlotQueueOptions {
  readonly customerShares?: CustomerShares;
  /** The weight of a customer; 1 if omitted. */
  readonly weightOf?: (customer: string) => number;
  /** Called when a request that had to wait, or was refused, has left. */
  readonly onEnd?: (waiter: Waiter, end: QueueEnd) => void;
}

interface RunningRequest {
  readonly route: string;
  readonly sinceMs: number;
}

/** Slots and queue of one instance. */
export class SlotQueue {
  readonly #options: SlotQueueOptions;
  readonly #pacer = new RatePacer();
  #namedPerS: number | undefined;
  #coldLimit: TurnLimit | undefined;
  readonly #order = new FairQueue<Task>();
  readonly #turns = createFairTurns(this.#order);
  readonly #holdTimes = new HoldTimes();
  readonly #running = new Set<RunningRequest>();
  #slots = 1;
  /** Queue length, without requests that left it early. */
  #waiting = 0;

  constructor(options: SlotQueueOptions = {}) {
    this.#options = options;
  }

  get running(): number {
    return this.#turns.pending;
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#waiting;
  }

  resize(slots: number): void {
    if (slots === this.#slots) return;
    this.#slots = slots;
    this.#turns.concurrency = slots;
  }

  /** The rate limit that the instance named last, in requests per second. */
  get limitPerS(): number | undefined {
    return this.#namedPerS;
  }

  /** Sets the rate limit that the instance named last; undefined removes it. */
  setLimit(limitPerS: number | undefined): void {
    this.#namedPerS = limitPerS;
    this.#applyLimits();
  }

  /** Sets the limit of an instance that is cold; undefined removes it. */
  setColdLimit(limit: TurnLimit | undefined): void {
    this.#coldLimit = limit;
    this.#applyLimits();
  }

  #applyLimits(): void {
    const {perS: coldPerS = Infinity} = this.#coldLimit ?? {};
    const namedPerS = this.#namedPerS ?? Infinity;
    const lowestPerS = Math.min(namedPerS, coldPerS);
    if (lowestPerS === Infinity) return this.#pacer.setLimit(undefined);
    const {minWaitMs = () => 0, burst = 1} = this.#coldLimit ?? {};
    const isCold = coldPerS <= namedPerS;
    this.#pacer.setLimit(lowestPerS, {burst: isCold ? burst : 1, minWaitMs});
  }

  /**
   * How long another request would wait for its turn within the rate limit;
   * undefined without a limit.
   */
  get turnWaitMs(): number | undefined {
    if (this.#pacer.limitPerS === undefined) return undefined;
    return this.#pacer.expectedWaitMs(this.waiting);
  }

  /** Waits for a slot; declines at once if the wait would be too long. */
  acquire(waiter: Waiter): Promise<Slot | Declined> {
    const {queueTimeoutMs, signal, route = ''} = waiter;
    const place = createPlace(waiter, {
      ...this.#options,
      costMs: this.#holdTimes.meanMs(route),
    });
    const expectedMs = this.#waitMs(place, estimateWaitMs);
    const arrivedAtMs = performance.now();
    const report = (result: QueueEnd['result']) => {
      const waitedMs = performance.now() - arrivedAtMs;
      this.#options.onEnd?.(waiter, {result, waitedMs, expectedMs});
    };
    if (signal.aborted) return Promise.resolve(declined('withdrawn'));
    if (expectedMs > queueTimeoutMs) {
      report('refused');
      return Promise.resolve(this.#decline(place));
    }
    const onEnd = (result: QueueEnd['result']) => {
      if (expectedMs > 0 || result !== 'slot') report(result);
    };
    return this.#wait(waiter, place, onEnd);
  }

  #wait(
    {queueTimeoutMs, signal, route = ''}: Waiter,
    place: Place,
    onEnd: (result: QueueEnd['result']) => void,
  ): Promise<Slot | Declined> {
    return new Promise(resolve => {
      let isSettled = false;
      const settle = (
        outcome: Slot | Declined,
        result: QueueEnd['result'] = 'slot',
      ) => {
        if (isSettled) return;
        isSettled = true;
        this.#waiting -= 1;
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        if (result !== 'slot') this.#leave(place);
        onEnd(result);
        resolve(outcome);
      };
      const onAbort = () => settle(declined('withdrawn'), 'withdrawn');
      const onTimeout = () => {
        this.#leave(place);
        settle(this.#decline(place), 'timeout');
      };
      const timer = setTimeout(onTimeout, Math.max(1, queueTimeoutMs));
      signal.addEventListener('abort', onAbort, {once: true});
      const hold = () => {
        if (!isSettled) return this.#hold(route, settle);
        this.#pacer.returnTurn();
        return Promise.resolve();
      };
      const isAbandoned = () => isSettled;
      this.#waiting += 1;
      void this.#pacer.takeTurn({place, isAbandoned}, () =>
        this.#turns.add(hold, {place}),
      );
    });
  }

  #decline(place: Place): Declined {
    const reason = this.#pacer.limitPerS === undefined ? 'busy' : 'limited';
    return declined(reason, this.#waitMs(place, usualWaitMs));
  }

  /** How long a request with this place would wait for a slot and its turn. */
  #waitMs(place: Place, estimate: (load: LoadAhead) => number): number {
    const ahead = [
      ...this.#pacer.order.ahead(place),
      ...this.#order.ahead(place),
    ];
    const nowMs = performance.now();
    const slotWaitMs = estimate({
      slots: this.#slots,
      running: [...this.#running].map(({route, sinceMs}) => ({
        meanMs: this.#holdTimes.meanMs(route),
        heldMs: nowMs - sinceMs,
      })),
      aheadMs: ahead.map(({costMs}) => costMs),
    });
    const turnsAhead = ahead.length + this.#pacer.dueTurns;
    return Math.max(slotWaitMs, this.#pacer.expectedWaitMs(turnsAhead));
  }

  /** Removes a request that no longer waits, and returns its turn if it had one. */
  #leave(place: Place): void {
    this.#pacer.order.remove(place);
    if (this.#order.remove(place)) this.#pacer.returnTurn();
  }

  /** Resolves when the slot is released. */
  #hold(route: string, settle: (slot: Slot) => void): Promise<void> {
    const running = {route, sinceMs: performance.now()};
    this.#running.add(running);
    return new Promise(resolve => {
      let isReleased = false;
      const release = () => {
        if (!isReleased) this.#recordHold(running);
        isReleased = true;
        resolve();
      };
      const releaseUnused = () => {
        if (!isReleased) this.#pacer.returnTurn();
        release();
      };
      settle({kind: 'slot', release, releaseUnused});
    });
  }

  #recordHold(running: RunningRequest): void {
    this.#running.delete(running);
    const {route, sinceMs} = running;
    this.#holdTimes.addSample(route, performance.now() - sinceMs);
  }
}
