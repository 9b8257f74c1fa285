/**
 * The retry budget: further sends of a request, whether retries or hedges, add
 * at most a tenth to the load of a service, even if most requests to it fail.
 */

/** Further sends that each request adds to the budget. */
const RETRIES_PER_REQUEST = 0.1;
/** Further sends that are allowed before any requests were counted. */
const INITIAL_RETRIES = 3;
const MAX_RETRIES_SAVED = 20;

/** The retry budget of one router, by service. */
export class RetryBudget {
  readonly #balances = new Map<string, number>();

  /** Counts the first send of a request. */
  deposit(service: string): void {
    const saved = this.#balanceOf(service) + RETRIES_PER_REQUEST;
    this.#balances.set(service, Math.min(MAX_RETRIES_SAVED, saved));
  }

  /** True if the budget allows one more send. */
  allowsRetry(service: string): boolean {
    return this.#balanceOf(service) >= 1;
  }

  /** Takes one more send from the budget; false if it is used up. */
  withdraw(service: string): boolean {
    if (!this.allowsRetry(service)) return false;
    this.#balances.set(service, this.#balanceOf(service) - 1);
    return true;
  }

  #balanceOf(service: string): number {
    return this.#balances.get(service) ?? INITIAL_RETRIES;
  }
}
