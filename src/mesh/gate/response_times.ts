/**
 * Expected response times of the routes behind one gate: a running mean and
 * mean deviation, as in the retransmission timer of TCP. They determine when a
 * response is late: a hedged request then goes to another instance, and this
 * one becomes suspect.
 */

/** Weight of a new sample; the last 10 or so dominate the mean. */
const GAIN = 0.1;
/** Mean deviations above the mean from which a response is late. */
const LATE_DEVIATIONS = 2.5;
/** Bounds of the late threshold, as shares of the latency objective. */
const MIN_LATE_SHARE = 0.15;
const MAX_LATE_SHARE = 0.6;
/** Assumed mean before the first sample, as a share of the objective. */
const INITIAL_MEAN_SHARE = 0.25;

interface Estimate {
  readonly meanMs: number;
  readonly deviationMs: number;
}

/** Estimated response times of the routes of one instance. */
export class ResponseTimes {
  readonly #estimates = new Map<string, Estimate>();

  addSample(route: string, tookMs: number): void {
    const known = this.#estimates.get(route);
    if (!known) {
      this.#estimates.set(route, {meanMs: tookMs, deviationMs: tookMs / 2});
      return;
    }
    const errorMs = tookMs - known.meanMs;
    const meanMs = known.meanMs + GAIN * errorMs;
    const changeMs = Math.abs(errorMs) - known.deviationMs;
    const deviationMs = known.deviationMs + GAIN * changeMs;
    this.#estimates.set(route, {meanMs, deviationMs});
  }

  /** The expected response time of a route. */
  expectedMs(route: string, objectiveMs: number): number {
    const known = this.#estimates.get(route);
    return known?.meanMs ?? INITIAL_MEAN_SHARE * objectiveMs;
  }

  /** Time after sending from which a response is late. */
  lateAfterMs(route: string, objectiveMs: number): number {
    const initialMs = INITIAL_MEAN_SHARE * objectiveMs;
    const {meanMs, deviationMs} = this.#estimates.get(route) ?? {
      meanMs: initialMs,
      deviationMs: initialMs / 2,
    };
    const afterMs = meanMs + LATE_DEVIATIONS * deviationMs;
    const minMs = MIN_LATE_SHARE * objectiveMs;
    return Math.min(MAX_LATE_SHARE * objectiveMs, Math.max(minMs, afterMs));
  }
}
