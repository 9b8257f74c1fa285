/**
 * How many daemons share the fleet's limits. A smaller number is believed only
 * after a while: those that are missing may only be cut off, and go on using
 * their parts.
 */

/** A smaller number of daemons is believed after this, in milliseconds. */
const HELD_MS = 30_000;

/** The most daemons that there were of late. */
export class FleetCount {
  readonly #count: () => number;
  readonly #now: () => number;
  #most = 0;
  #seenAtMs = -Infinity;

  constructor(count: () => number, now: () => number) {
    this.#count = count;
    this.#now = now;
  }

  /** 0: not known yet. */
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
