/**
 * A sequential test (CUSUM) that detects an elevated share of bad events.
 * Each event adds the logarithm of the likelihood ratio of "the share is
 * elevated" to "the share is as expected", and the sum never falls below
 * zero. The test needs no time window: a high share is detected after few
 * events, and at the expected share the mean number of events until a false
 * alarm grows as e to the power of the threshold.
 */

/** Options of {@link ChangeDetector}. */
export interface ChangeDetectorOptions {
  /** Share of bad events that is normal, 0 to 1. */
  readonly expectedShare: number;
  /** Share that is to be detected, 0 to 1; above `expectedShare`. */
  readonly elevatedShare: number;
}

/** Upper bound of the score, so that it decays soon after a fault has ended. */
const MAX_SCORE = 14;
const MAX_SHARE = 0.95;

/** Tests one kind of event of one instance. */
export class ChangeDetector {
  readonly #options: ChangeDetectorOptions;
  #score = 0;

  constructor(options: ChangeDetectorOptions) {
    this.#options = options;
  }

  /** Logarithm of the likelihood ratio so far, not below zero. */
  get score(): number {
    return this.#score;
  }

  /**
   * Adds an event. `siblingShare` is the share of bad events at the other
   * instances of the service; a high one raises both shares that are compared.
   */
  add(isBad: boolean, siblingShare: number): void {
    const {expectedShare: expected, elevatedShare: risen} = this.#options;
    const normalShare = Math.min(0.5, Math.max(expected, siblingShare * 2));
    const faultyShare = Math.min(MAX_SHARE, Math.max(risen, normalShare * 2.5));
    const step = isBad
      ? Math.log(faultyShare / normalShare)
      : Math.log((1 - faultyShare) / (1 - normalShare));
    this.#score = Math.min(MAX_SCORE, Math.max(0, this.#score + step));
  }

  /** Lowers the score to `score` if it is higher. */
  capScore(score: number): void {
    this.#score = Math.min(this.#score, score);
  }
}
