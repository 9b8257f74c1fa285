/**
 * What the operators allow of repeats, and what a service saw: in any window,
 * repeats by its ratio to the requests of that window, plus a fixed slack.
 */

/** As the operators of one deployment state it. */
export const REPEAT_BOUNDS = {ratio: 0.2, windowS: 10, slack: 60} as const;

const WINDOW_MS = REPEAT_BOUNDS.windowS * 1000;

/** Requests and repeats of one service, by their time. */
export class RepeatWindows {
  readonly #requestedAtMs: number[] = [];
  readonly #repeatedAtMs: number[] = [];

  requested(atMs: number): void {
    this.#requestedAtMs.push(atMs);
  }

  repeated(atMs: number): void {
    this.#repeatedAtMs.push(atMs);
  }

  /** The most that any whole window used, as a part of what is allowed. */
  mostUsed(): number {
    const endMs = this.#requestedAtMs.at(-1) ?? 0;
    const starts = this.#repeatedAtMs.filter(at => at + WINDOW_MS <= endMs);
    return Math.max(0, ...starts.map(from => this.#usedFrom(from)));
  }

  #usedFrom(fromMs: number): number {
    const {ratio, slack} = REPEAT_BOUNDS;
    const requests = countIn(this.#requestedAtMs, fromMs);
    const repeats = countIn(this.#repeatedAtMs, fromMs);
    return repeats / (ratio * requests + slack);
  }
}

function countIn(times: readonly number[], fromMs: number): number {
  return times.filter(at => at >= fromMs && at < fromMs + WINDOW_MS).length;
}
