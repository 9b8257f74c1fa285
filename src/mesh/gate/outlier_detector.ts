/**
 * Outlier detection for one instance, based on the requests that it handles. A
 * failure makes the instance suspect for a short time; then it is on probation
 * until some requests in a row have succeeded. A late request counts against
 * it immediately, and no longer counts once a good response arrives after all.
 * Routers prefer other instances meanwhile, but use this one when the others
 * are full, so that outlier detection never reduces capacity.
 *
 * Designed for an instance that repeatedly hangs or fails most requests for
 * some seconds while its health check passes.
 */
import type {Trust} from '../model.js';
import type {Assurance} from './work.js';

/** How a request to the instance failed. */
export type FailureKind = 'error' | 'broken' | 'rejected';

/**
 * How long a failure makes the instance suspect, in milliseconds. An error is
 * often caused by a call that the instance made, and weighs less.
 */
const SUSPECT_MS: Readonly<Record<FailureKind, number>> = {
  error: 800,
  rejected: 500,
  broken: 1500,
};
/** The maximum, since an instance that failed is healthy again after 2 s. */
const HANG_SUSPECT_MS = 2000;
/**
 * A suspect instance, or one on probation, counts as answering if its last
 * answer is no older than this. On the users' bench 5% of the requests hung
 * that reached such an instance within this time of its last answer, 18% of
 * those at up to a second, and 55% of later ones.
 */
const ANSWERING_WINDOW_MS = 600;
/**
 * One request in four succeeds at an instance that hangs; two in a row rarely
 * do.
 */
const SUCCESSES_NEEDED = 2;

/** The outlier detector of one instance. */
export class OutlierDetector {
  #suspectUntilMs = -Infinity;
  #failedAtMs = -Infinity;
  #answeredAtMs = -Infinity;
  #successesNeeded = 0;
  /** When each request that is still late became late. */
  readonly #lateSinceMs = new Map<string, number>();

  /** Records a failure observed at `nowMs`. */
  recordFailure(kind: FailureKind, nowMs: number): void {
    if (kind === 'rejected') this.#answeredAtMs = nowMs;
    this.#suspect(nowMs, SUSPECT_MS[kind]);
  }

  /** Records that a request has become late. */
  recordLate(requestId: string, nowMs: number): void {
    this.#lateSinceMs.set(requestId, nowMs);
  }

  /** Records that a request which may have been late has ended. */
  recordEnd(requestId: string, isGood: boolean, nowMs: number): void {
    const sinceMs = this.#lateSinceMs.get(requestId);
    if (sinceMs === undefined) return;
    this.#lateSinceMs.delete(requestId);
    if (!isGood) this.#suspect(sinceMs, HANG_SUSPECT_MS, nowMs);
  }

  /** Records a good response at `nowMs` to a request sent at `sentAtMs`. */
  recordSuccess(sentAtMs: number, nowMs: number): void {
    this.#answeredAtMs = nowMs;
    // An older request may have been handled before the failures began.
    if (sentAtMs < this.#failedAtMs) return;
    this.#successesNeeded = Math.max(0, this.#successesNeeded - 1);
    if (this.#successesNeeded === 0) this.#suspectUntilMs = -Infinity;
  }

  trust(nowMs: number): Trust {
    const lateSinceMs = [...this.#lateSinceMs.values()];
    const isHanging = lateSinceMs.some(at => nowMs - at < HANG_SUSPECT_MS);
    if (isHanging || nowMs < this.#suspectUntilMs) return 'suspect';
    const isDoubtful = this.#successesNeeded > 0 || lateSinceMs.length > 0;
    return isDoubtful ? 'probation' : 'clear';
  }

  /**
   * Whether the instance gives a request the assurance that it requires. After
   * being suspect, an instance that answers nothing gets a single trial request
   * at a time.
   */
  assures(assurance: Assurance, isIdle: boolean, nowMs: number): boolean {
    const trust = this.trust(nowMs);
    if (trust === 'clear' || assurance === 'none') return true;
    if (assurance === 'trusted') return false;
    const isAnswering = nowMs - this.#answeredAtMs < ANSWERING_WINDOW_MS;
    return isAnswering || (trust === 'probation' && isIdle);
  }

  #suspect(fromMs: number, forMs: number, nowMs = fromMs): void {
    this.#failedAtMs = nowMs;
    this.#successesNeeded = SUCCESSES_NEEDED;
    this.#suspectUntilMs = Math.max(this.#suspectUntilMs, fromMs + forMs);
  }
}
