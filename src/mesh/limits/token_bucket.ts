/** A token bucket on a monotonic clock; it also holds fractions of tokens. */

/** Refill rate and capacity of a bucket. */
export interface BucketSize {
  readonly perS: number;
  readonly capacity: number;
}

/** A token bucket. */
export class TokenBucket {
  #size: BucketSize;
  #level: number;
  #atMs: number;

  constructor(size: BucketSize, level: number, nowMs: number) {
    this.#size = size;
    this.#level = Math.min(level, size.capacity);
    this.#atMs = nowMs;
  }

  /** Changes rate and capacity; tokens over the new capacity are dropped. */
  resize(size: BucketSize, nowMs: number): void {
    this.#fill(nowMs);
    this.#size = size;
    this.#level = Math.min(this.#level, size.capacity);
  }

  /** Takes one token; returns 0, or the wait until one is available in ms. */
  take(nowMs: number): number {
    this.#fill(nowMs);
    if (this.#level >= 1) {
      this.#level -= 1;
      return 0;
    }
    const missing = 1 - this.#level;
    if (this.#size.perS <= 0) return Infinity;
    return Math.max(1, (missing / this.#size.perS) * 1000);
  }

  /** Deducts tokens that were already used; refills pay off a debt first. */
  owe(tokens: number, nowMs: number): void {
    this.#fill(nowMs);
    this.#level -= tokens;
  }

  #fill(nowMs: number): void {
    const gained = ((nowMs - this.#atMs) / 1000) * this.#size.perS;
    this.#level = Math.min(this.#size.capacity, this.#level + gained);
    this.#atMs = nowMs;
  }
}
