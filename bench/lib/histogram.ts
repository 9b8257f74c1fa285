/** Latency histograms in microseconds, printed in milliseconds. */
import {build, type Histogram} from 'hdr-histogram-js';

const MAX_MICROSECONDS = 120_000_000;
const DIGITS = 3;

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly p999: number;
}

/** A histogram of durations that are given in milliseconds. */
export class LatencyHistogram {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_MICROSECONDS,
    numberOfSignificantValueDigits: DIGITS,
  });

  record(valueMs: number): void {
    const micros = Math.max(1, Math.round(valueMs * 1000));
    this.#histogram.recordValue(Math.min(micros, MAX_MICROSECONDS));
  }

  percentiles(): Percentiles {
    const at = (p: number) => this.#histogram.getValueAtPercentile(p) / 1000;
    const count = this.#histogram.totalCount;
    return {count, p50: at(50), p99: at(99), p999: at(99.9)};
  }
}

/** What `value` has more than `base`, at each percentile. */
export function addedTo(base: Percentiles, value: Percentiles): Percentiles {
  const less = (key: 'p50' | 'p99' | 'p999') =>
    Math.round((value[key] - base[key]) * 1000) / 1000;
  return {
    count: value.count,
    p50: less('p50'),
    p99: less('p99'),
    p999: less('p999'),
  };
}
