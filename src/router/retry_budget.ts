/**
 * The retry budget: further sends of a request, whether retries or hedges, add
 * at most a tenth to the load of a service, even if most requests to it fail.
 */

/** Further sends that each request adds to the budget. */
const SHARE = 0.1;
/** Further sends that are allowed before any requests were counted. */
const FLOOR = 3;
const MAX_SAVED = 20;

/** The retry budget of one router, by service. */
export class RetryBudget {
  readonly #saved = new Map<string, number>();

  /** Counts the first send of a request. */
  deposit(service: string): void {
    const saved = this.#savedOf(service) + SHARE;
    this.#saved.set(service, Math.min(MAX_SAVED, saved));
  }

  /** True if the budget allows one more send. */
  has(service: string): boolean {
    return this.#savedOf(service) >= 1;
  }

  /** Takes one more send from the budget; false if it is used up. */
  take(service: string): boolean {
    if (!this.has(service)) return false;
    this.#saved.set(service, this.#savedOf(service) - 1);
    return true;
  }

  #savedOf(service: string): number {
    return this.#saved.get(service) ?? FLOOR;
  }
}
