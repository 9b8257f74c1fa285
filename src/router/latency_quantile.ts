/**
 * A running estimate of the latency that 19 of 20 answers stay below. Each
 * sample moves it a little: up by much if it was exceeded, else down by a
 * little, so that it rests where one in twenty exceeds it.
 */
const QUANTILE = 0.95;
const STEP = 0.1;
const MIN_SAMPLES = 10;

/** The estimate for one service. */
export class LatencyQuantile {
  #estimateMs = 0;
  #samples = 0;

  /** Milliseconds, or undefined after too few samples. */
  get value(): number | undefined {
    return this.#samples < MIN_SAMPLES ? undefined : this.#estimateMs;
  }

  add(latencyMs: number): void {
    this.#samples += 1;
    if (this.#samples <= MIN_SAMPLES) {
      this.#estimateMs = Math.max(this.#estimateMs, latencyMs);
      return;
    }
    const stepMs = Math.max(0.1, this.#estimateMs * STEP);
    const isAbove = latencyMs > this.#estimateMs;
    this.#estimateMs += stepMs * (isAbove ? QUANTILE : QUANTILE - 1);
  }
}
