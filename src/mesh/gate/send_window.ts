/**
 * Counts the requests sent to an instance within the last second, whether it
 * was known to be cold at that time or not. Requests that were sent before a
 * limit applied count toward it.
 */

/** Period that a cold instance's limit applies to. */
const WINDOW_MS = 1000;
/** Requests that are sent this much apart may arrive together. */
const TRANSIT_MARGIN_MS = 50;
/** A request that was sent is counted for this long. */
export const COUNTED_FOR_MS = WINDOW_MS + TRANSIT_MARGIN_MS;

/** The requests sent within the last second. */
export class SendWindow {
  readonly #blockedUntilMs: number;
  #sentAtMs: number[] = [];

  /**
   * A process that ran here before may have used up the second in which this
   * one started, so a new window is full until that second has passed.
   */
  constructor(startedAtMs: number) {
    this.#blockedUntilMs = startedAtMs + COUNTED_FOR_MS;
  }

  /** Records that a request is sent now. */
  record(nowMs: number): void {
    this.#prune(nowMs);
    this.#sentAtMs.push(nowMs);
  }

  /** Time until fewer than `cap` requests are counted; 0 if that is so now. */
  waitMs(cap: number, nowMs: number): number {
    this.#prune(nowMs);
    const lastBlocking = this.#sentAtMs.at(-Math.max(1, cap));
    const freeAtMs =
      lastBlocking === undefined ? nowMs : lastBlocking + COUNTED_FOR_MS;
    return Math.max(0, freeAtMs - nowMs, this.#blockedUntilMs - nowMs);
  }

  #prune(nowMs: number): void {
    const isCounted = (atMs: number) => nowMs - atMs < COUNTED_FOR_MS;
    const first = this.#sentAtMs.findIndex(isCounted);
    if (first === 0) return;
    this.#sentAtMs = first < 0 ? [] : this.#sentAtMs.slice(first);
  }
}
