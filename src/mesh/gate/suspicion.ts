/**
 * Outlier detection for one instance from its real work. A failure makes the
 * instance suspect for a moment; then it is on probation, and the next
 * success clears it. Routers prefer other instances meanwhile, but use it
 * when the others are full, so that suspicion never takes capacity away.
 *
 * Pattern: an instance that hangs or fails most requests for some seconds
 * while its health check is good.
 */
import type {Trust} from '../model.js';

/** How a request failed its instance. */
export type FailureSign = 'error' | 'hang' | 'broken' | 'rejected';

/**
 * How long a failure keeps work away, in milliseconds. An error is often the
 * fault of a call that the instance made, and weighs less. The longest stays
 * at the 2 s for which an instance that failed needs no work to be sound.
 */
const SUSPECT_MS: Readonly<Record<FailureSign, number>> = {
  error: 800,
  rejected: 500,
  broken: 1500,
  hang: 2000,
};

/** Judges one instance. */
export class Suspicion {
  #suspectUntilMs = -Infinity;
  #failedAtMs = -Infinity;
  #isProven = true;

  /** Notes a failure that was seen at `nowMs`. */
  failed(sign: FailureSign, nowMs: number): void {
    this.#failedAtMs = nowMs;
    this.#isProven = false;
    const untilMs = nowMs + SUSPECT_MS[sign];
    this.#suspectUntilMs = Math.max(this.#suspectUntilMs, untilMs);
  }

  /** Notes a good answer to a request that was sent at `sentAtMs`. */
  succeeded(sentAtMs: number): void {
    // An older request may have passed before the trouble began.
    if (sentAtMs < this.#failedAtMs) return;
    this.#isProven = true;
    this.#suspectUntilMs = -Infinity;
  }

  trust(nowMs: number): Trust {
    if (nowMs < this.#suspectUntilMs) return 'suspect';
    return this.#isProven ? 'clear' : 'probation';
  }
}
