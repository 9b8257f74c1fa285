/**
 * Estimates how long a request will wait for a slot from how long slots were
 * held recently. A request that would exceed its queue timeout or deadline is
 * rejected at once, with the time after which a retry makes sense.
 */

/** Weight of the newest sample in the moving average. */
const NEWEST_SAMPLE_WEIGHT = 0.3;

/** The wait estimate of one service at one gate. */
export class WaitEstimator {
  #averageHoldMs: number | undefined;

  addHoldTime(heldMs: number): void {
    const previousMs = this.#averageHoldMs ?? heldMs;
    this.#averageHoldMs =
      previousMs + (heldMs - previousMs) * NEWEST_SAMPLE_WEIGHT;
  }

  /** Moving average of how long slots are held; 0 without samples. */
  get averageHoldMs(): number {
    return this.#averageHoldMs ?? 0;
  }

  /** Expected wait behind `ahead` other requests if no slot is free now. */
  waitMs(ahead: number, slots: number): number {
    if (this.#averageHoldMs === undefined || slots <= 0) return 0;
    return ((ahead + 1) * this.#averageHoldMs) / slots;
  }
}
