/**
 * Evidence about one instance. Real work counts first: failures, and latency
 * against siblings. Probes count only while there is no real work that
 * speaks for itself. Whether the evidence is against this instance or shared
 * by its siblings is for `suspect` to tell.
 */
import {ChangeDetector} from './change_detector.js';
import type {Baseline, Suspicion} from './messages.js';
import {RecentSamples} from './recent_samples.js';
import type {MethodClass, Observation, SampleKind} from './health_view.js';

/** What evidence is seen beside. */
export interface EvidenceContext {
  readonly baseline: () => Baseline | undefined;
  /** Milliseconds by which this process itself runs late. */
  readonly processLagMs: () => number;
}

interface InFlightExchange {
  readonly methodClass: MethodClass;
  sentAtMs: number | undefined;
  isStalled: boolean;
}

/** Score at which an instance is suspected. */
export const SUSPECT_SCORE = 5;
/** Score at which it is sick enough to be ejected. */
export const EJECT_SCORE = 8;

const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 15;
/** Own lag beyond this doesn't excuse an instance any more. */
const MAX_LAG_ALLOWANCE_MS = 25;
const STALL_FACTOR = 10;
const MIN_STALL_MS = 200;
/** Time in which siblings that are slow as well become known. */
const SLOW_CONFIRM_MS = 200;
const SLOW_EJECT_MS = 2000;

/** Evidence about one instance. */
export class InstanceEvidence {
  readonly #context: EvidenceContext;
  readonly #failures = new ChangeDetector({
    expectedShare: 0.03,
    elevatedShare: 0.25,
  });
  readonly #probeFailures = new ChangeDetector({
    expectedShare: 0.03,
    elevatedShare: 0.25,
  });
  readonly #slowness = new ChangeDetector({
    expectedShare: 0.1,
    elevatedShare: 0.6,
  });
  readonly #inFlight = new Set<InFlightExchange>();
  readonly samples = new RecentSamples();
  #slowSinceMs: number | undefined;
  #lastTrafficMs = 0;
  #consecutiveGood = 0;

  constructor(context: EvidenceContext) {
    this.#context = context;
  }

  /** Good exchanges, or good probes without any, since the last bad one. */
  get consecutiveGood(): number {
    return this.#consecutiveGood;
  }

  /** When real work last said something; monotonic, milliseconds. */
  get lastTrafficMs(): number {
    return this.#lastTrafficMs;
  }

  observe(methodClass: MethodClass): Observation {
    const exchange: InFlightExchange = {
      methodClass,
      sentAtMs: undefined,
      isStalled: false,
    };
    this.#inFlight.add(exchange);
    return {
      onSent: () => (exchange.sentAtMs = performance.now()),
      onEnded: kind => {
        if (this.#inFlight.delete(exchange)) this.#recordEnd(exchange, kind);
      },
    };
  }

  /** Looks for exchanges that take too long; true if a new one was found. */
  detectStalls(): boolean {
    const nowMs = performance.now();
    const stalls = [...this.#inFlight].filter(exchange => {
      const limitMs = this.#stallLimitMs(exchange.methodClass);
      const sentAtMs = exchange.sentAtMs ?? nowMs;
      return !exchange.isStalled && nowMs - sentAtMs > limitMs;
    });
    stalls.forEach(exchange => {
      exchange.isStalled = true;
      this.#lastTrafficMs = nowMs;
      this.#consecutiveGood = 0;
      // A stall is late by far more than a slow answer is.
      this.#addSlowSample(true);
      this.#addSlowSample(true);
    });
    return stalls.length > 0;
  }

  /** Drops what is in flight: this process was paused meanwhile. */
  discardInFlight(): void {
    this.#inFlight.clear();
  }

  /** A probe ended. It counts only if real work was silent since `sinceMs`. */
  recordProbe(isGood: boolean, sinceMs: number): void {
    if (this.#lastTrafficMs > sinceMs) return;
    if (isGood) this.#consecutiveGood += 1;
    this.#probeFailures.add(!isGood, 0);
    if (isGood) this.#failures.add(false, 0);
  }

  /** What the instance is suspected of, seen beside its siblings. */
  assessSuspicion(): Suspicion {
    const baseline = this.#context.baseline();
    if (this.#isFailing()) {
      const isShared =
        baseline && isSharedBySiblings(baseline.failing, baseline);
      return isShared ? 'none' : 'failing';
    }
    const ageMs = this.#slowDurationMs();
    if (ageMs < SLOW_CONFIRM_MS || !baseline) return 'none';
    return isSharedBySiblings(baseline.slow, baseline) ? 'none' : 'slow';
  }

  /** What is told to siblings: not yet compared with theirs. */
  assessLocalSuspicion(): Suspicion {
    if (this.#isFailing()) return 'failing';
    return this.#slowness.score >= SUSPECT_SCORE ? 'slow' : 'none';
  }

  /** True if the suspicion is strong enough for an ejection. */
  warrantsEjection(): boolean {
    const suspicion = this.assessSuspicion();
    // Probes alone make an instance suspect, never sick.
    if (suspicion === 'failing') return this.#failures.score >= EJECT_SCORE;
    const isLasting = this.#slowDurationMs() >= SLOW_EJECT_MS;
    const isCertain = this.#slowness.score >= EJECT_SCORE;
    return suspicion === 'slow' && isLasting && isCertain;
  }

  /** The evidence in a few words, for the log. */
  describe(): string {
    const failing = this.#failures.score.toFixed(1);
    const slow = this.#slowness.score.toFixed(1);
    return `failing ${failing}, slow ${slow}, good ${this.#consecutiveGood}`;
  }

  /** The last good exchanges outweigh what was before them. */
  resetScores(): void {
    this.#failures.capScore(0);
    this.#probeFailures.capScore(0);
    this.#slowness.capScore(0);
    this.#slowSinceMs = undefined;
  }

  resetConsecutiveGood(): void {
    this.#consecutiveGood = 0;
  }

  #recordEnd(exchange: InFlightExchange, kind: SampleKind): void {
    if (kind === 'shed') return;
    const nowMs = performance.now();
    const {methodClass, sentAtMs} = exchange;
    const latencyMs = sentAtMs === undefined ? undefined : nowMs - sentAtMs;
    if (kind === 'cancelled') return this.#recordCancelled(exchange, latencyMs);
    // A deadline that siblings would have missed too says nothing.
    const limitMs = this.#stallLimitMs(methodClass);
    if (kind === 'timeout' && (latencyMs ?? 0) < limitMs) return;
    const failed = kind !== 'success';
    const slow = !failed && this.#isSlow(methodClass, latencyMs ?? 0);
    this.#lastTrafficMs = nowMs;
    this.samples.add({atMs: nowMs, methodClass, latencyMs, failed, slow});
    this.#failures.add(failed, this.#context.baseline()?.failureShare ?? 0);
    if (!failed && !exchange.isStalled) this.#addSlowSample(slow);
    this.#consecutiveGood = failed || slow ? 0 : this.#consecutiveGood + 1;
    // Real work that succeeds proves a probe wrong.
    if (!failed) this.#probeFailures.capScore(0);
  }

  #isFailing(): boolean {
    const maxScore = Math.max(this.#failures.score, this.#probeFailures.score);
    return maxScore >= SUSPECT_SCORE;
  }

  /** Whoever didn't wait longer still learned that it took this long. */
  #recordCancelled(
    exchange: InFlightExchange,
    waitedMs: number | undefined,
  ): void {
    if (exchange.isStalled || waitedMs === undefined) return;
    if (!this.#isSlow(exchange.methodClass, waitedMs)) return;
    this.#lastTrafficMs = performance.now();
    this.#consecutiveGood = 0;
    this.#addSlowSample(true);
  }

  #addSlowSample(slow: boolean): void {
    const baseline = this.#context.baseline();
    if (!baseline) return;
    this.#slowness.add(slow, baseline.slowShare);
    const isSuspected = this.#slowness.score >= SUSPECT_SCORE;
    if (!isSuspected) this.#slowSinceMs = undefined;
    else this.#slowSinceMs ??= performance.now();
  }

  #slowDurationMs(): number {
    if (this.#slowSinceMs === undefined) return -1;
    return performance.now() - this.#slowSinceMs;
  }

  #isSlow(methodClass: MethodClass, latencyMs: number): boolean {
    const medianMs = this.#context.baseline()?.medianMs[methodClass];
    if (medianMs === undefined) return false;
    const limitMs = Math.max(medianMs * SLOW_FACTOR, medianMs + SLOW_MARGIN_MS);
    const lagAllowanceMs = Math.min(
      MAX_LAG_ALLOWANCE_MS,
      this.#context.processLagMs(),
    );
    return latencyMs > limitMs + lagAllowanceMs;
  }

  #stallLimitMs(methodClass: MethodClass): number {
    const medianMs = this.#context.baseline()?.medianMs[methodClass];
    if (medianMs === undefined) return Number.POSITIVE_INFINITY;
    return Math.max(MIN_STALL_MS, medianMs * STALL_FACTOR);
  }
}

/** Half of the siblings can't all be outliers: that is load, or a fault. */
function isSharedBySiblings(suspected: number, baseline: Baseline): boolean {
  return suspected * 2 > baseline.instances;
}
