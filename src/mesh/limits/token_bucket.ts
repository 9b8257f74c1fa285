/** A token bucket on a monotonic clock; it also holds fractions of tokens. */

/** Refill rate and capacity of a bucket. */
export interface BucketParams {
  readonly tokensPerS: number;
  readonly capacity: number;
}

/** A token bucket. */
export class TokenBucket {
  #params: BucketParams;
  #tokens: number;
  #refilledAtMs: number;

  constructor(params: BucketParams, level: number, nowMs: number) {
    this.#params = params;
    this.#tokens = Math.min(level, params.capacity);
    this.#refilledAtMs = nowMs;
  }

  /** Changes rate and capacity; tokens over the new capacity are dropped. */
  reconfigure(params: BucketParams, nowMs: number): void {
    this.#refill(nowMs);
    this.#params = params;
    this.#tokens = Math.min(this.#tokens, params.capacity);
  }

  /** Takes one token; returns 0, or the wait until one is available in ms. */
  take(nowMs: number): number {
    const waitMs = this.waitMs(nowMs);
    if (waitMs === 0) this.#tokens -= 1;
    return waitMs;
  }

  /** The wait until a token is available, in milliseconds; 0 if one is now. */
  waitMs(nowMs: number): number {
    this.#refill(nowMs);
    if (this.#tokens >= 1) return 0;
    const missing = 1 - this.#tokens;
    if (this.#params.tokensPerS <= 0) return Infinity;
    return Math.max(1, (missing / this.#params.tokensPerS) * 1000);
  }

  /** Deducts tokens that were already used; refills pay off a debt first. */
  charge(tokens: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens -= tokens;
  }

  #refill(nowMs: number): void {
    const gained =
      ((nowMs - this.#refilledAtMs) / 1000) * this.#params.tokensPerS;
    this.#tokens = Math.min(this.#params.capacity, this.#tokens + gained);
    this.#refilledAtMs = nowMs;
  }
}
