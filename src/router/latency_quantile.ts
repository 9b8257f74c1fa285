/**
 * A running estimate of the 95th percentile of latency. A sample above the
 * estimate raises it by a large step, any other sample lowers it by a small
 * one, so that it converges to where one sample in twenty exceeds it.
 */
const QUANTILE = 0.95;
const STEP_RATIO = 0.1;
const MIN_SAMPLES = 10;

/** The estimate for one service. */
export class LatencyQuantile {
  #estimateMs = 0;
  #samples = 0;

  /** In milliseconds; undefined while there are too few samples. */
  get value(): number | undefined {
    return this.#samples < MIN_SAMPLES ? undefined : this.#estimateMs;
  }

  add(latencyMs: number): void {
    this.#samples += 1;
    if (this.#samples <= MIN_SAMPLES) {
      this.#estimateMs = Math.max(this.#estimateMs, latencyMs);
      return;
    }
    const stepMs = Math.max(0.1, this.#estimateMs * STEP_RATIO);
    const isAbove = latencyMs > this.#estimateMs;
    this.#estimateMs += stepMs * (isAbove ? QUANTILE : QUANTILE - 1);
  }
}
