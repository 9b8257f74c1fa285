/**
 * The end of a planned stop, after which the process is killed. A request is
 * started only if it can be expected to end before; one that waits is refused
 * as soon as it can't.
 */
import {setMaxListeners} from 'node:events';

/** A request that has not been sent, and what to do if it never can be. */
interface Waiter {
  readonly expectedMs: () => number;
  readonly onTooLate: () => void;
  timer?: NodeJS.Timeout;
}

/**
 * Part of a stop after which it counts as late. Callers have left by then, and
 * a request that was sent before has at least as much time again to end.
 */
const LATE_SHARE = 0.5;

/** Decides which requests a stopping daemon still starts. */
export class StopDeadline {
  readonly #now: () => number;
  readonly #waiters = new Set<Waiter>();
  readonly #end = new AbortController();
  #endsAtMs = Infinity;
  #lateFromMs = Infinity;

  /** `now` is a monotonic clock in milliseconds. */
  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
    // Every request in flight listens.
    setMaxListeners(0, this.#end.signal);
  }

  /** Aborted when the time is up; requests in flight need an answer then. */
  get signal(): AbortSignal {
    return this.#end.signal;
  }

  /** Begins the stop, which may take `durationMs`. */
  begin(durationMs: number): void {
    this.#endsAtMs = this.#now() + durationMs;
    this.#lateFromMs = this.#now() + durationMs * LATE_SHARE;
    this.#waiters.forEach(waiter => this.#schedule(waiter));
    setTimeout(() => this.#end.abort(new Error('stopping')), durationMs);
  }

  /** Whether a stop is in its last part. */
  get isLate(): boolean {
    return this.#now() >= this.#lateFromMs;
  }

  /** Whether a request that takes `expectedMs` from now on ends in time. */
  allows(expectedMs: number): boolean {
    return this.#now() + expectedMs <= this.#endsAtMs;
  }

  /**
   * Calls `onTooLate` when a request that takes `expectedMs` from then on can't
   * end in time any more. Returns a function that ends the watch.
   */
  watch(expectedMs: () => number, onTooLate: () => void): () => void {
    const waiter: Waiter = {expectedMs, onTooLate};
    this.#waiters.add(waiter);
    if (this.#endsAtMs !== Infinity) this.#schedule(waiter);
    return () => {
      clearTimeout(waiter.timer);
      this.#waiters.delete(waiter);
    };
  }

  #schedule(waiter: Waiter): void {
    const nowMs = this.#now();
    const latestAtMs = this.#endsAtMs - waiter.expectedMs();
    // What a request is expected to take may change when the stop becomes late.
    const checkAtMs =
      nowMs < this.#lateFromMs
        ? Math.min(latestAtMs, this.#lateFromMs)
        : latestAtMs;
    waiter.timer = setTimeout(
      () => this.#check(waiter),
      Math.max(1, checkAtMs - nowMs),
    );
  }

  #check(waiter: Waiter): void {
    if (this.allows(waiter.expectedMs())) this.#schedule(waiter);
    else waiter.onTooLate();
  }
}
