/**
 * The number of daemons that share the fleet's limits. A decrease takes effect
 * only after a delay, because the missing daemons may just be cut off by the
 * network and still be using their parts of the limits.
 */

/** How long a smaller number must persist before it is used. */
const HELD_MS = 30_000;

/** Tracks the largest number of daemons seen recently. */
export class FleetCount {
  readonly #count: () => number;
  readonly #now: () => number;
  #most = 0;
  #seenAtMs = -Infinity;

  constructor(count: () => number, now: () => number) {
    this.#count = count;
    this.#now = now;
  }

  /** The number of daemons; 0 while it is unknown. */
  get daemons(): number {
    const nowMs = this.#now();
    const count = this.#count();
    if (count >= this.#most || nowMs - this.#seenAtMs > HELD_MS) {
      this.#most = count;
      this.#seenAtMs = nowMs;
    }
    return this.#most;
  }
}
