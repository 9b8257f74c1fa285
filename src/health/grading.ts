/**
 * The grade of one instance: full, reduced, or ejected. Reduced is a soft
 * preference and needs nobody's consent; ejected holds only while a permit
 * is valid. The time that an instance must prove itself doubles with each
 * relapse, so that one that flaps stays out for longer each time.
 */
import {InstanceEvidence, type EvidenceSource} from './evidence.js';
import {mayBeEjected} from './permit_rule.js';
import type {Candidacy, Grade} from './view.js';

const RECOVERY_GOOD = 10;
const RETURN_GOOD = 5;
const HOLD_MS = 1000;
const EJECTED_HOLD_MS = 2000;
const MAX_DOUBLINGS = 5;
const RELAPSE_MEMORY_MS = 30_000;
const SLOW_START_MS = 3000;
const TRIAL_INTERVAL_MS = 200;

/** The grade of one instance and how it came about. */
export class Grading {
  readonly evidence: InstanceEvidence;
  readonly service: string;
  #grade: Grade = 'full';
  #sinceMs = performance.now();
  #relapses = 0;
  #permitUntilMs: number | undefined;
  #lastTrialMs = 0;
  /** Undefined once the instance may have all its slots. */
  #slowStartMs: number | undefined = performance.now();

  constructor(service: string, source: EvidenceSource) {
    this.service = service;
    this.evidence = new InstanceEvidence(source);
  }

  /** The grade of this moment. */
  get grade(): Grade {
    const permitted = mayBeEjected(this.#permitUntilMs, performance.now());
    return this.#grade === 'ejected' && !permitted ? 'reduced' : this.#grade;
  }

  /** Time left of the permit to eject, in milliseconds. */
  get permitLeftMs(): number {
    return Math.max(0, (this.#permitUntilMs ?? 0) - performance.now());
  }

  /** True while the gate should ask for a permit, or renew it. */
  get wantsPermit(): boolean {
    if (this.#grade === 'ejected') return true;
    return this.#grade === 'reduced' && this.evidence.isSick();
  }

  /** A permit to eject was given, valid until then. */
  permit(untilMs: number): void {
    if (this.wantsPermit) this.#permitUntilMs = untilMs;
  }

  /** Decides anew; true if the grade changed. */
  review(): boolean {
    const before = this.#grade;
    REVIEWS[this.#grade](this);
    return before !== this.#grade;
  }

  limit({slots}: Candidacy, trial: boolean): number {
    const grade = this.grade;
    if (grade === 'ejected') return trial && this.isTrialDue() ? 1 : 0;
    if (grade === 'reduced') return Math.ceil(slots / 2);
    return this.#slowStartLimit(slots);
  }

  isTrialDue(): boolean {
    if (this.grade === 'full') return false;
    return performance.now() - this.#lastTrialMs >= TRIAL_INTERVAL_MS;
  }

  /** An exchange starts. */
  started(): void {
    this.#lastTrialMs = performance.now();
  }

  reviewFull(): void {
    const healthyMs = performance.now() - this.#sinceMs;
    if (healthyMs > RELAPSE_MEMORY_MS) this.#relapses = 0;
    if (this.evidence.suspect() === 'none') return;
    this.#enter('reduced');
    this.#relapses += 1;
  }

  reviewReduced(): void {
    const permitted = mayBeEjected(this.#permitUntilMs, performance.now());
    if (this.wantsPermit && permitted) return this.#enter('ejected');
    if (this.#heldMs() < HOLD_MS * this.#doublings()) return;
    if (this.evidence.goodInRow >= RECOVERY_GOOD) {
      this.#slowStartMs = performance.now();
      return this.#recover();
    }
    // Suspected, but so are its siblings: the fault is not its own.
    const isShared = this.evidence.suspect() === 'none';
    if (isShared && this.evidence.rawSuspicion() !== 'none') this.#recover();
  }

  reviewEjected(): void {
    const permitted = mayBeEjected(this.#permitUntilMs, performance.now());
    if (!permitted) return this.#enter('reduced');
    if (this.#heldMs() < EJECTED_HOLD_MS * this.#doublings()) return;
    if (this.evidence.goodInRow < RETURN_GOOD) return;
    this.#permitUntilMs = undefined;
    this.evidence.absolve();
    this.#enter('reduced');
  }

  #recover(): void {
    this.evidence.absolve();
    this.#enter('full');
  }

  #enter(grade: Grade): void {
    this.#grade = grade;
    this.#sinceMs = performance.now();
    this.evidence.restartRow();
  }

  #heldMs(): number {
    return performance.now() - this.#sinceMs;
  }

  #doublings(): number {
    return 2 ** Math.min(MAX_DOUBLINGS, Math.max(0, this.#relapses - 1));
  }

  #slowStartLimit(slots: number): number {
    if (this.#slowStartMs === undefined) return slots;
    const share = (performance.now() - this.#slowStartMs) / SLOW_START_MS;
    if (share >= 1) this.#slowStartMs = undefined;
    return Math.min(slots, 1 + Math.floor(slots * share));
  }
}

const REVIEWS: Readonly<Record<Grade, (grading: Grading) => void>> = {
  full: grading => grading.reviewFull(),
  reduced: grading => grading.reviewReduced(),
  ejected: grading => grading.reviewEjected(),
};
