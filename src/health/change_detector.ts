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
  readonly expectedShare: number;
  /** Share that is to be found, 0 to 1; above `expected`. */
  readonly elevatedShare: number;
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
  add(isBad: boolean, siblingShare: number): void {
    const {expectedShare: expected, elevatedShare: risen} = this.#options;
    const normalShare = Math.min(0.5, Math.max(expected, siblingShare * 2));
    const faultyShare = Math.min(MAX_SHARE, Math.max(risen, normalShare * 2.5));
    const step = isBad
      ? Math.log(faultyShare / normalShare)
      : Math.log((1 - faultyShare) / (1 - normalShare));
    this.#score = Math.min(MAX_SCORE, Math.max(0, this.#score + step));
  }

  /** Sets the score to at most `score`. */
  capScore(score: number): void {
    this.#score = Math.min(this.#score, score);
  }
}
