/**
 * The retry budget: second sends of a request, be they retries or hedges,
 * never add more than a tenth to the load of a service, however sick it is.
 */

/** Second sends for each request. */
const SHARE = 0.1;
/** What may be sent again before any requests have paid for it. */
const FLOOR = 3;
const MAX_SAVED = 20;

/** The budget of one router, by service. */
export class RetryBudget {
  readonly #saved = new Map<string, number>();

  /** A request is sent for the first time. */
  deposit(service: string): void {
    const saved = this.#savedOf(service) + SHARE;
    this.#saved.set(service, Math.min(MAX_SAVED, saved));
  }

  /** True if a request may be sent once more. */
  has(service: string): boolean {
    return this.#savedOf(service) >= 1;
  }

  /** Pays for one more send; false if there is nothing left. */
  take(service: string): boolean {
    if (!this.has(service)) return false;
    this.#saved.set(service, this.#savedOf(service) - 1);
    return true;
  }

  #savedOf(service: string): number {
    return this.#saved.get(service) ?? FLOOR;
  }
}
