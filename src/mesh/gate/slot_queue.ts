/**
 * The slots of one instance and the queue of requests that wait for one. The
 * most urgent request goes first, then the oldest. A request that is not
 * expected to get a slot within its queue timeout is declined on arrival, not
 * after waiting.
 */
import PQueue from 'p-queue';
import {declined, type Declined} from './work.js';

/** A held slot. */
export interface Slot {
  readonly kind: 'slot';
  release(): void;
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

  /** How long another request of this priority would wait for a slot. */
  expectedWaitMs(priority: number): number {
    const ahead = this.running + this.#waitingUpTo(priority) - this.#slots + 1;
    return ahead <= 0 ? 0 : (ahead / this.#slots) * this.#holdMs;
  }

  /** Waits for a slot; declines at once if the wait would be too long. */
  acquire(waiter: Waiter): Promise<Slot | Declined> {
    const {priority, queueTimeoutMs: queueTimeoutMs, signal} = waiter;
    const waitMs = this.expectedWaitMs(priority);
    if (signal.aborted) return Promise.resolve(declined('withdrawn'));
    if (waitMs > queueTimeoutMs)
      return Promise.resolve(declined('busy', waitMs));
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
        () => settle(declined('busy', this.expectedWaitMs(priority))),
        Math.max(1, queueTimeoutMs),
      );
      signal.addEventListener('abort', onAbort, {once: true});
      const hold = () => (isSettled ? Promise.resolve() : this.#hold(settle));
      this.#adjustWaiting(priority, 1);
      void this.#queue.add(hold, {priority: -priority});
    });
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
      const release = () => {
        const heldMs = performance.now() - sinceMs;
        const gain = this.#isFirstHold ? 1 : GAIN;
        this.#isFirstHold = false;
        this.#holdMs += gain * (heldMs - this.#holdMs);
        resolve();
      };
      settle({kind: 'slot', release});
    });
  }
}
