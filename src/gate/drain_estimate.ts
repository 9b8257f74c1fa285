/**
 * Estimates how long a request will wait for a slot from how long slots were
 * held recently. A request that would exceed its queue timeout or deadline is
 * rejected at once, with the time after which a retry makes sense.
 */

/** Weight of the newest sample in the moving average. */
const WEIGHT = 0.3;

/** The wait estimate of one service at one gate. */
export class DrainEstimate {
  #heldMs: number | undefined;

  add(heldMs: number): void {
    const last = this.#heldMs ?? heldMs;
    this.#heldMs = last + (heldMs - last) * WEIGHT;
  }

  /** Moving average of how long slots are held; 0 without samples. */
  get usualMs(): number {
    return this.#heldMs ?? 0;
  }

  /** Expected wait behind `ahead` other requests if no slot is free now. */
  waitMs(ahead: number, slots: number): number {
    if (this.#heldMs === undefined || slots <= 0) return 0;
    return ((ahead + 1) * this.#heldMs) / slots;
  }
}
