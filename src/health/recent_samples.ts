/** Exchanges with one instance that ended within the last two seconds. */
import type {MethodClass} from './health_view.js';

/** One exchange that ended. */
export interface RecentSample {
  readonly atMs: number;
  readonly methodClass: MethodClass;
  /** From the request's last byte to the response headers, if it was sent. */
  readonly latencyMs: number | undefined;
  readonly failed: boolean;
  readonly slow: boolean;
}

const WINDOW_MS = 2000;
const MAX_SAMPLES = 128;
const MIN_MEDIAN_SAMPLES = 3;

/** A sliding window of samples, the newest last. */
export class RecentSamples {
  #samples: RecentSample[] = [];

  add(sample: RecentSample): void {
    this.#samples.push(sample);
    if (this.#samples.length > MAX_SAMPLES) this.#samples.shift();
  }

  /** The samples that are still within the window. */
  recent(): readonly RecentSample[] {
    const fromMs = performance.now() - WINDOW_MS;
    return this.#samples.filter(sample => sample.atMs >= fromMs);
  }

  /** Share of recent samples that match; 0 if there are no samples. */
  shareWhere(matches: (sample: RecentSample) => boolean): number {
    const recent = this.recent();
    return recent.filter(matches).length / Math.max(1, recent.length);
  }

  /** Median latency of a class, or undefined if there are too few samples. */
  medianMs(methodClass: MethodClass): number | undefined {
    const latencies = this.recent()
      .filter(sample => sample.methodClass === methodClass && !sample.failed)
      .map(sample => sample.latencyMs)
      .filter(latencyMs => latencyMs !== undefined);
    if (latencies.length < MIN_MEDIAN_SAMPLES) return undefined;
    return lowerMedian(latencies);
  }
}

/** The median; of two middle values the lower one. */
export function lowerMedian(values: readonly number[]): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}
