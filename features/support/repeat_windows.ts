/**
 * Compares the repeats to a service with what the operators allow: in any
 * window, a ratio of the requests in that window plus a fixed slack.
 */

/** Bounds as configured by the operators of one deployment. */
export const REPEAT_BOUNDS = {ratio: 0.2, windowS: 10, slack: 60} as const;

const WINDOW_MS = REPEAT_BOUNDS.windowS * 1000;

/** The times of one service's requests and repeats. */
export class RepeatWindows {
  readonly #requestedAtMs: number[] = [];
  readonly #repeatedAtMs: number[] = [];

  requested(atMs: number): void {
    this.#requestedAtMs.push(atMs);
  }

  repeated(atMs: number): void {
    this.#repeatedAtMs.push(atMs);
  }

  /** The largest share of the allowed repeats that a full window used. */
  maxUsedShare(): number {
    const endMs = this.#requestedAtMs.at(-1) ?? 0;
    const starts = this.#repeatedAtMs.filter(at => at + WINDOW_MS <= endMs);
    return Math.max(0, ...starts.map(from => this.#usedShareFrom(from)));
  }

  #usedShareFrom(fromMs: number): number {
    const {ratio, slack} = REPEAT_BOUNDS;
    const requests = countIn(this.#requestedAtMs, fromMs);
    const repeats = countIn(this.#repeatedAtMs, fromMs);
    return repeats / (ratio * requests + slack);
  }
}

function countIn(times: readonly number[], fromMs: number): number {
  return times.filter(at => at >= fromMs && at < fromMs + WINDOW_MS).length;
}
