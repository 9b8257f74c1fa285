/** A token bucket on the monotonic clock, in whole and part tokens. */

/** How fast it fills and how much it holds. */
export interface BucketSize {
  readonly perS: number;
  readonly capacity: number;
}

/** One bucket. */
export class TokenBucket {
  #size: BucketSize;
  #level: number;
  #atMs: number;

  constructor(size: BucketSize, level: number, nowMs: number) {
    this.#size = size;
    this.#level = Math.min(level, size.capacity);
    this.#atMs = nowMs;
  }

  /** Changes its size; what no longer fits is lost. */
  resize(size: BucketSize, nowMs: number): void {
    this.#fill(nowMs);
    this.#size = size;
    this.#level = Math.min(this.#level, size.capacity);
  }

  /** Takes one token; returns 0, or how long until one is there. */
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

  /** Takes tokens that are used already; debts are filled up first. */
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
