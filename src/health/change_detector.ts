/**
 * A sequential test (CUSUM) for a share that has risen: each event adds the
 * logarithm of the likelihood ratio "share has risen" against "share is as
 * expected", and the sum never falls below zero. It needs no window: a high
 * share is found after few events, and with the expected share the mean time
 * to a false alarm grows as e to the power of the threshold, in events.
 */

/** Options of {@link ChangeDetector}. */
export interface ChangeDetectorOptions {
  /** Share of bad events that is always expected, 0 to 1. */
  readonly expected: number;
  /** Share that is to be found, 0 to 1; above `expected`. */
  readonly risen: number;
}

/** The score is kept below this, so that an old fault is forgotten. */
const MAX_SCORE = 14;
const MAX_SHARE = 0.95;

/** The test for one kind of event of one instance. */
export class ChangeDetector {
  readonly #options: ChangeDetectorOptions;
  #score = 0;

  constructor(options: ChangeDetectorOptions) {
    this.#options = options;
  }

  /** Logarithm of the likelihood ratio so far; zero or above. */
  get score(): number {
    return this.#score;
  }

  /** Adds an event; `siblingShare` is how often it is bad elsewhere. */
  add(bad: boolean, siblingShare: number): void {
    const {expected, risen} = this.#options;
    const before = Math.min(0.5, Math.max(expected, siblingShare * 2));
    const after = Math.min(MAX_SHARE, Math.max(risen, before * 2.5));
    const step = bad
      ? Math.log(after / before)
      : Math.log((1 - after) / (1 - before));
    this.#score = Math.min(MAX_SCORE, Math.max(0, this.#score + step));
  }

  /** Sets the score to at most `score`. */
  lower(score: number): void {
    this.#score = Math.min(this.#score, score);
  }
}
