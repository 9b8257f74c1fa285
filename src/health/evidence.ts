/**
 * Evidence about one instance. Real work counts first: failures, and latency
 * against siblings. Probes count only while there is no real work that
 * speaks for itself. Whether the evidence is against this instance or shared
 * by its siblings is for `suspect` to tell.
 */
import {ChangeDetector} from './change_detector.js';
import type {Baseline, Suspicion} from './messages.js';
import {RecentSamples} from './recent_samples.js';
import type {MethodClass, Observation, SampleKind} from './view.js';

/** What evidence is seen beside. */
export interface EvidenceSource {
  readonly baseline: () => Baseline | undefined;
  /** Milliseconds by which this process itself runs late. */
  readonly ownLagMs: () => number;
}

interface InFlight {
  readonly methodClass: MethodClass;
  sentAtMs: number | undefined;
  stalled: boolean;
}

/** Score at which an instance is suspected. */
export const SUSPECT_SCORE = 5;
/** Score at which it is sick enough to be ejected. */
export const SICK_SCORE = 8;

const SLOW_FACTOR = 3;
const SLOW_EXTRA_MS = 15;
/** Own lag beyond this doesn't excuse an instance any more. */
const MAX_SLACK_MS = 25;
const STALL_FACTOR = 10;
const STALL_MIN_MS = 200;
/** Time in which siblings that are slow as well become known. */
const SLOW_CONFIRM_MS = 200;
const SLOW_SICK_MS = 2000;

/** Evidence about one instance. */
export class InstanceEvidence {
  readonly #source: EvidenceSource;
  readonly #failing = new ChangeDetector({expected: 0.03, risen: 0.25});
  readonly #probing = new ChangeDetector({expected: 0.03, risen: 0.25});
  readonly #slow = new ChangeDetector({expected: 0.1, risen: 0.6});
  readonly #inFlight = new Set<InFlight>();
  readonly samples = new RecentSamples();
  #slowSinceMs: number | undefined;
  #lastRealMs = 0;
  #goodInRow = 0;

  constructor(source: EvidenceSource) {
    this.#source = source;
  }

  /** Good exchanges, or good probes without any, since the last bad one. */
  get goodInRow(): number {
    return this.#goodInRow;
  }

  /** When real work last said something; monotonic, milliseconds. */
  get lastRealMs(): number {
    return this.#lastRealMs;
  }

  observe(methodClass: MethodClass): Observation {
    const flight: InFlight = {methodClass, sentAtMs: undefined, stalled: false};
    this.#inFlight.add(flight);
    return {
      sent: () => (flight.sentAtMs = performance.now()),
      ended: kind => {
        if (this.#inFlight.delete(flight)) this.#end(flight, kind);
      },
    };
  }

  /** Looks for exchanges that take too long; true if a new one was found. */
  findStalls(): boolean {
    const nowMs = performance.now();
    const stalls = [...this.#inFlight].filter(flight => {
      const limitMs = this.#stallLimitMs(flight.methodClass);
      const sentAtMs = flight.sentAtMs ?? nowMs;
      return !flight.stalled && nowMs - sentAtMs > limitMs;
    });
    stalls.forEach(flight => {
      flight.stalled = true;
      this.#lastRealMs = nowMs;
      this.#goodInRow = 0;
      // A stall is late by far more than a slow answer is.
      this.#addSlow(true);
      this.#addSlow(true);
    });
    return stalls.length > 0;
  }

  /** Drops what is in flight: this process was paused meanwhile. */
  forgetInFlight(): void {
    this.#inFlight.clear();
  }

  /** A probe ended. It counts only if real work was silent since `sinceMs`. */
  probed(good: boolean, sinceMs: number): void {
    if (this.#lastRealMs > sinceMs) return;
    if (good) this.#goodInRow += 1;
    this.#probing.add(!good, 0);
    if (good) this.#failing.add(false, 0);
  }

  /** What the instance is suspected of, seen beside its siblings. */
  suspect(): Suspicion {
    const baseline = this.#source.baseline();
    if (this.#isFailing()) {
      const shared = baseline && isShared(baseline.failing, baseline);
      return shared ? 'none' : 'failing';
    }
    const ageMs = this.#slowAgeMs();
    if (ageMs < SLOW_CONFIRM_MS || !baseline) return 'none';
    return isShared(baseline.slow, baseline) ? 'none' : 'slow';
  }

  /** What is told to siblings: not yet compared with theirs. */
  rawSuspicion(): Suspicion {
    if (this.#isFailing()) return 'failing';
    return this.#slow.score >= SUSPECT_SCORE ? 'slow' : 'none';
  }

  /** True if the suspicion is strong enough for an ejection. */
  isSick(): boolean {
    const suspicion = this.suspect();
    // Probes alone make an instance suspect, never sick.
    if (suspicion === 'failing') return this.#failing.score >= SICK_SCORE;
    const isLasting = this.#slowAgeMs() >= SLOW_SICK_MS;
    const isCertain = this.#slow.score >= SICK_SCORE;
    return suspicion === 'slow' && isLasting && isCertain;
  }

  /** The evidence in a few words, for the log. */
  describe(): string {
    const failing = this.#failing.score.toFixed(1);
    const slow = this.#slow.score.toFixed(1);
    return `failing ${failing}, slow ${slow}, good ${this.#goodInRow}`;
  }

  /** The last good exchanges outweigh what was before them. */
  absolve(): void {
    this.#failing.lower(0);
    this.#probing.lower(0);
    this.#slow.lower(0);
    this.#slowSinceMs = undefined;
  }

  restartRow(): void {
    this.#goodInRow = 0;
  }

  #end(flight: InFlight, kind: SampleKind): void {
    if (kind === 'shed') return;
    const nowMs = performance.now();
    const {methodClass, sentAtMs} = flight;
    const latencyMs = sentAtMs === undefined ? undefined : nowMs - sentAtMs;
    if (kind === 'cancelled') return this.#endCancelled(flight, latencyMs);
    // A deadline that siblings would have missed too says nothing.
    const limitMs = this.#stallLimitMs(methodClass);
    if (kind === 'timeout' && (latencyMs ?? 0) < limitMs) return;
    const failed = kind !== 'success';
    const slow = !failed && this.#isSlow(methodClass, latencyMs ?? 0);
    this.#lastRealMs = nowMs;
    this.samples.add({atMs: nowMs, methodClass, latencyMs, failed, slow});
    this.#failing.add(failed, this.#source.baseline()?.failureShare ?? 0);
    if (!failed && !flight.stalled) this.#addSlow(slow);
    this.#goodInRow = failed || slow ? 0 : this.#goodInRow + 1;
    // Real work that succeeds proves a probe wrong.
    if (!failed) this.#probing.lower(0);
  }

  #isFailing(): boolean {
    const worst = Math.max(this.#failing.score, this.#probing.score);
    return worst >= SUSPECT_SCORE;
  }

  /** Whoever didn't wait longer still learned that it took this long. */
  #endCancelled(flight: InFlight, waitedMs: number | undefined): void {
    if (flight.stalled || waitedMs === undefined) return;
    if (!this.#isSlow(flight.methodClass, waitedMs)) return;
    this.#lastRealMs = performance.now();
    this.#goodInRow = 0;
    this.#addSlow(true);
  }

  #addSlow(slow: boolean): void {
    const baseline = this.#source.baseline();
    if (!baseline) return;
    this.#slow.add(slow, baseline.slowShare);
    const suspected = this.#slow.score >= SUSPECT_SCORE;
    if (!suspected) this.#slowSinceMs = undefined;
    else this.#slowSinceMs ??= performance.now();
  }

  #slowAgeMs(): number {
    if (this.#slowSinceMs === undefined) return -1;
    return performance.now() - this.#slowSinceMs;
  }

  #isSlow(methodClass: MethodClass, latencyMs: number): boolean {
    const medianMs = this.#source.baseline()?.medianMs[methodClass];
    if (medianMs === undefined) return false;
    const limitMs = Math.max(medianMs * SLOW_FACTOR, medianMs + SLOW_EXTRA_MS);
    const slackMs = Math.min(MAX_SLACK_MS, this.#source.ownLagMs());
    return latencyMs > limitMs + slackMs;
  }

  #stallLimitMs(methodClass: MethodClass): number {
    const medianMs = this.#source.baseline()?.medianMs[methodClass];
    if (medianMs === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(STALL_MIN_MS, medianMs * STALL_FACTOR);
  }
}

/** Half of the siblings can't all be outliers: that is load, or a fault. */
function isShared(suspected: number, baseline: Baseline): boolean {
  return suspected * 2 > baseline.instances;
}
