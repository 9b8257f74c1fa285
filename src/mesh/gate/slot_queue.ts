/**
 * The slots of one instance and the queue of requests that wait for one. The
 * most urgent request goes first, then the oldest. A request that is not
 * expected to get a slot within its queue timeout is declined on arrival, not
 * after waiting. While the instance names a rate limit or is cold, a request
 * needs its turn within the lower limit as well as a slot.
 */
import PQueue from 'p-queue';
import type {TurnLimit} from './cold_pacing.js';
import {RatePacer} from './rate_pacer.js';
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
}

/** Weight of the newest hold time in the running mean. */
const GAIN = 0.1;
/** Assumed mean hold time until the first request has ended. */
const INITIAL_HOLD_MS = 200;

/** Slots and queue of one instance. */
export class SlotQueue {
  readonly #pacer = new RatePacer();
  #namedPerS: number | undefined;
  #coldLimit: TurnLimit | undefined;
  readonly #queue = new PQueue({concurrency: 1});
  #slots = 1;
  /** Queue length by priority, without requests that left it early. */
  readonly #waiting = new Map<number, number>();
  /** Mean time that a request holds a slot. */
  #holdMs = INITIAL_HOLD_MS;
  #isFirstHold = true;

  get running(): number {
    return this.#queue.pending;
  }

  /** Number of queued requests. */
  get waiting(): number {
    return this.#waitingUpTo(Infinity);
  }

  resize(slots: number): void {
    if (slots === this.#slots) return;
    this.#slots = slots;
    this.#queue.concurrency = slots;
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

  /** How long another request of this priority would wait for a slot. */
  expectedWaitMs(priority: number): number {
    const waiting = this.#waitingUpTo(priority);
    const ahead = this.running + waiting - this.#slots + 1;
    const slotWaitMs = ahead <= 0 ? 0 : (ahead / this.#slots) * this.#holdMs;
    return Math.max(slotWaitMs, this.#pacer.expectedWaitMs(waiting));
  }

  /** Waits for a slot; declines at once if the wait would be too long. */
  acquire(waiter: Waiter): Promise<Slot | Declined> {
    const {priority, queueTimeoutMs, signal} = waiter;
    const waitMs = this.expectedWaitMs(priority);
    if (signal.aborted) return Promise.resolve(declined('withdrawn'));
    if (waitMs > queueTimeoutMs)
      return Promise.resolve(declined(this.#declineReason, waitMs));
    return new Promise(resolve => {
      let isSettled = false;
      const settle = (result: Slot | Declined) => {
        if (isSettled) return;
        isSettled = true;
        this.#adjustWaiting(priority, -1);
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        resolve(result);
      };
      const onAbort = () => settle(declined('withdrawn'));
      const timer = setTimeout(
        () =>
          settle(declined(this.#declineReason, this.expectedWaitMs(priority))),
        Math.max(1, queueTimeoutMs),
      );
      signal.addEventListener('abort', onAbort, {once: true});
      const hold = () => {
        if (!isSettled) return this.#hold(settle);
        this.#pacer.returnTurn();
        return Promise.resolve();
      };
      const isAbandoned = () => isSettled;
      this.#adjustWaiting(priority, 1);
      void this.#pacer.takeTurn({priority, isAbandoned}, () =>
        this.#queue.add(hold, {priority: -priority}),
      );
    });
  }

  get #declineReason(): 'busy' | 'limited' {
    return this.#pacer.limitPerS === undefined ? 'busy' : 'limited';
  }

  /** Number of queued requests that are at least as urgent. */
  #waitingUpTo(priority: number): number {
    return [...this.#waiting].reduce(
      (sum, [of, count]) => (of <= priority ? sum + count : sum),
      0,
    );
  }

  #adjustWaiting(priority: number, change: number): void {
    const count = (this.#waiting.get(priority) ?? 0) + change;
    if (count === 0) this.#waiting.delete(priority);
    else this.#waiting.set(priority, count);
  }

  /** Resolves when the slot is released. */
  #hold(settle: (slot: Slot) => void): Promise<void> {
    const sinceMs = performance.now();
    return new Promise(resolve => {
      let isReleased = false;
      const release = () => {
        isReleased = true;
        const heldMs = performance.now() - sinceMs;
        const gain = this.#isFirstHold ? 1 : GAIN;
        this.#isFirstHold = false;
        this.#holdMs += gain * (heldMs - this.#holdMs);
        resolve();
      };
      const releaseUnused = () => {
        if (!isReleased) this.#pacer.returnTurn();
        release();
      };
      settle({kind: 'slot', release, releaseUnused});
    });
  }
}
