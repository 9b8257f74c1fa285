/**
 * The number of daemons that share the fleet's limits. A decrease takes effect
 * only after a delay, because the missing daemons may just be cut off by the
 * network and still be using their parts of the limits.
 */

/** How long a smaller number must persist before it is used. */
const DECREASE_DELAY_MS = 30_000;

/** Tracks the largest number of daemons seen recently. */
export class FleetCount {
  readonly #countDaemons: () => number;
  readonly #now: () => number;
  #largest = 0;
  #largestSeenAtMs = -Infinity;

  constructor(countDaemons: () => number, now: () => number) {
    this.#countDaemons = countDaemons;
    this.#now = now;
  }

  /** The number of daemons; 0 while it is unknown. */
  get daemons(): number {
    const nowMs = this.#now();
    const count = this.#countDaemons();
    if (
      count >= this.#largest ||
      nowMs - this.#largestSeenAtMs > DECREASE_DELAY_MS
    ) {
      this.#largest = count;
      this.#largestSeenAtMs = nowMs;
    }
    return this.#largest;
  }
}
