/**
 * Outlier detection for one instance from its real work. A failure makes the
 * instance suspect for a moment; then it is on probation until some requests
 * in a row have passed. A request that is late counts against it at once, and
 * no longer when its good answer comes after all. Routers prefer other
 * instances meanwhile, but use this one when the others are full, so that
 * suspicion never takes capacity away.
 *
 * Pattern: an instance that hangs or fails most requests for some seconds
 * while its health check is good, again and again.
 */
import type {Trust} from '../model.js';
import type {Assurance} from './work.js';

/** How a request failed its instance. */
export type FailureSign = 'error' | 'broken' | 'rejected';

/**
 * How long a failure keeps work away, in milliseconds. An error is often the
 * fault of a call that the instance made, and weighs less.
 */
const SUSPECT_MS: Readonly<Record<FailureSign, number>> = {
  error: 800,
  rejected: 500,
  broken: 1500,
};
/** At the longest, since an instance that failed is sound again after 2 s. */
const HANG_SUSPECT_MS = 2000;
/**
 * An instance in doubt that has answered within this time, in milliseconds,
 * is taken as answering. On the users' bench 5% of the requests hung that met
 * one within it, 18% at up to a second, and 55% later.
 */
const ANSWERING_MS = 600;
/** One request in four passes an instance that hangs; two in a row rarely. */
const PROOFS_NEEDED = 2;

/** Judges one instance. */
export class Suspicion {
  #suspectUntilMs = -Infinity;
  #failedAtMs = -Infinity;
  #answeredAtMs = -Infinity;
  #proofsNeeded = 0;
  /** When each request that is late now became so. */
  readonly #lateSinceMs = new Map<string, number>();

  /** Notes a failure that was seen at `nowMs`. */
  failed(sign: FailureSign, nowMs: number): void {
    if (sign === 'rejected') this.#answeredAtMs = nowMs;
    this.#distrust(nowMs, SUSPECT_MS[sign]);
  }

  /** Notes that a request has no answer yet though it should. */
  late(requestId: string, nowMs: number): void {
    this.#lateSinceMs.set(requestId, nowMs);
  }

  /** Notes that a request which may have been late has ended. */
  ended(requestId: string, isGood: boolean, nowMs: number): void {
    const sinceMs = this.#lateSinceMs.get(requestId);
    if (sinceMs === undefined) return;
    this.#lateSinceMs.delete(requestId);
    if (!isGood) this.#distrust(sinceMs, HANG_SUSPECT_MS, nowMs);
  }

  /** Notes a good answer, at `nowMs`, to what was sent at `sentAtMs`. */
  succeeded(sentAtMs: number, nowMs: number): void {
    this.#answeredAtMs = nowMs;
    // An older request may have passed before the trouble began.
    if (sentAtMs < this.#failedAtMs) return;
    this.#proofsNeeded = Math.max(0, this.#proofsNeeded - 1);
    if (this.#proofsNeeded === 0) this.#suspectUntilMs = -Infinity;
  }

  trust(nowMs: number): Trust {
    const lateSinceMs = [...this.#lateSinceMs.values()];
    const isHanging = lateSinceMs.some(at => nowMs - at < HANG_SUSPECT_MS);
    if (isHanging || nowMs < this.#suspectUntilMs) return 'suspect';
    const isDoubtful = this.#proofsNeeded > 0 || lateSinceMs.length > 0;
    return isDoubtful ? 'probation' : 'clear';
  }

  /**
   * Whether the instance will do for a request that wants this assurance. One
   * that answers nothing gets a single trial at a time after the suspicion.
   */
  assures(assurance: Assurance, isIdle: boolean, nowMs: number): boolean {
    const trust = this.trust(nowMs);
    if (trust === 'clear' || assurance === 'none') return true;
    if (assurance === 'trusted') return false;
    const isAnswering = nowMs - this.#answeredAtMs < ANSWERING_MS;
    return isAnswering || (trust === 'probation' && isIdle);
  }

  #distrust(fromMs: number, forMs: number, nowMs = fromMs): void {
    this.#failedAtMs = nowMs;
    this.#proofsNeeded = PROOFS_NEEDED;
    this.#suspectUntilMs = Math.max(this.#suspectUntilMs, fromMs + forMs);
  }
}
