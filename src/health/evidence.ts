/**
 * Evidence on the health of one instance. Real traffic counts first: its
 * failures, and its latency compared with that of the siblings (the other
 * instances of the service). Probes count only while there is no real traffic.
 * `assessSuspicion` decides whether the evidence is specific to this instance
 * or shared by its siblings.
 */
import {ChangeDetector} from './change_detector.js';
import type {Baseline, Suspicion} from './messages.js';
import {RecentSamples} from './recent_samples.js';
import type {MethodClass, Observation, SampleKind} from './health_view.js';

/** What the evidence is compared with. */
export interface EvidenceContext {
  /** Statistics over the siblings, or undefined if none are fresh. */
  readonly baseline: () => Baseline | undefined;
  /** Delay of this process's timers, which adds to measured latencies. */
  readonly processLagMs: () => number;
}

interface InFlightExchange {
  readonly methodClass: MethodClass;
  sentAtMs: number | undefined;
  isStalled: boolean;
}

/** Score from which an instance is suspected. */
export const SUSPECT_SCORE = 5;
/** Score from which an instance may be ejected. */
export const EJECT_SCORE = 8;

/** A response is slow if it exceeds the median by this factor and margin. */
const SLOW_FACTOR = 3;
const SLOW_MARGIN_MS = 15;
/** At most this much of the process lag is deducted from a latency. */
const MAX_LAG_ALLOWANCE_MS = 25;
/** An exchange is stalled beyond this multiple of the median. */
const STALL_FACTOR = 10;
const MIN_STALL_MS = 200;
/** Time until the baseline includes siblings that became slow as well. */
const SLOW_CONFIRM_MS = 200;
/** Time for which an instance must be slow before it may be ejected. */
const SLOW_EJECT_MS = 2000;

/** Collects the evidence on one instance. */
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

  /**
   * Good exchanges since the last bad one; without traffic, good probes count
   * too.
   */
  get consecutiveGood(): number {
    return this.#consecutiveGood;
  }

  /** Monotonic time of the last evidence from real traffic. */
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

  /** Marks exchanges that take too long; true if a new one was found. */
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
      // Counted twice: a stall is far later than a slow response.
      this.#addSlowSample(true);
      this.#addSlowSample(true);
    });
    return stalls.length > 0;
  }

  /**
   * Discards the exchanges in flight. Called after a pause of this process,
   * which makes their latencies meaningless.
   */
  discardInFlight(): void {
    this.#inFlight.clear();
  }

  /**
   * Records the result of a probe. It is ignored if real traffic has given
   * evidence since `sinceMs`.
   */
  recordProbe(isGood: boolean, sinceMs: number): void {
    if (this.#lastTrafficMs > sinceMs) return;
    if (isGood) this.#consecutiveGood += 1;
    this.#probeFailures.add(!isGood, 0);
    if (isGood) this.#failures.add(false, 0);
  }

  /** What the instance is suspected of, unless its siblings share the fault. */
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

  /** The suspicion before comparison with siblings; this one is reported. */
  assessLocalSuspicion(): Suspicion {
    if (this.#isFailing()) return 'failing';
    return this.#slowness.score >= SUSPECT_SCORE ? 'slow' : 'none';
  }

  /** True if the evidence is strong enough for an ejection. */
  warrantsEjection(): boolean {
    const suspicion = this.assessSuspicion();
    // Probes alone may make an instance suspected, but never ejected.
    if (suspicion === 'failing') return this.#failures.score >= EJECT_SCORE;
    const isLasting = this.#slowDurationMs() >= SLOW_EJECT_MS;
    const isCertain = this.#slowness.score >= EJECT_SCORE;
    return suspicion === 'slow' && isLasting && isCertain;
  }

  /** Summarizes the evidence for the log. */
  describe(): string {
    const failing = this.#failures.score.toFixed(1);
    const slow = this.#slowness.score.toFixed(1);
    return `failure score ${failing}, slowness score ${slow}, good in a row ${this.#consecutiveGood}`;
  }

  /**
   * Clears the scores: the instance has proved itself since, or its siblings
   * share the fault.
   */
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
    // A deadline so short that siblings would miss it too is no evidence.
    const limitMs = this.#stallLimitMs(methodClass);
    if (kind === 'timeout' && (latencyMs ?? 0) < limitMs) return;
    const failed = kind !== 'success';
    const slow = !failed && this.#isSlow(methodClass, latencyMs ?? 0);
    this.#lastTrafficMs = nowMs;
    this.samples.add({atMs: nowMs, methodClass, latencyMs, failed, slow});
    this.#failures.add(failed, this.#context.baseline()?.failureShare ?? 0);
    if (!failed && !exchange.isStalled) this.#addSlowSample(slow);
    this.#consecutiveGood = failed || slow ? 0 : this.#consecutiveGood + 1;
    // Successful real traffic refutes failed probes.
    if (!failed) this.#probeFailures.capScore(0);
  }

  #isFailing(): boolean {
    const maxScore = Math.max(this.#failures.score, this.#probeFailures.score);
    return maxScore >= SUSPECT_SCORE;
  }

  /** A cancelled exchange shows that the latency was at least `waitedMs`. */
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

/**
 * True if more than half of the instances are suspected. They can't all be
 * outliers, so the cause is load or a fault that they share.
 */
function isSharedBySiblings(suspected: number, baseline: Baseline): boolean {
  return suspected * 2 > baseline.instances;
}
