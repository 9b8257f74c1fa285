/**
 * Decides whether requests to an instance are paced as if it were cold, and at
 * which rate. The instance reports how long it stays cold in heartbeats and on
 * its health path; whatever hasn't been reported is assumed to be cold.
 *
 * Designed for instances that end when they get far more than their cold rate
 * in a second, and for gates that restart beside them.
 */

/** What the operators configure for cold instances of a service. */
export interface ColdLimits {
  /** How long an instance is cold after its start, in milliseconds. */
  readonly warmupMs: number;
  /** Requests per second that a cold instance tolerates. */
  readonly coldPerS: number;
}

/** Why requests are paced; `unknown`: no configuration is known yet. */
export type ColdCause = 'reported' | 'assumed' | 'unknown';

/** The pacing in force. */
export interface ColdPace {
  readonly perS: number;
  /** Requests that may be sent within a second. */
  readonly cap: number;
  readonly cause: ColdCause;
  /** Infinite if only a report or a configuration ends it. */
  readonly untilMs: number;
}

/**
 * Requests per second beyond `coldPerS` that may reach a cold instance. Half of
 * either is left for requests whose arrival is delayed on the way.
 */
export const WARMUP_OVERAGE = 1.5;
export const WARMUP_SLACK = 8;
const CAP_OVERAGE = 1 + (WARMUP_OVERAGE - 1) / 2;
const CAP_SLACK = WARMUP_SLACK / 2;
/**
 * Rate while the service's limits are unknown. Whatever they are, the slack is
 * allowed in each second.
 */
const UNKNOWN_LIMITS_PER_S = 4;

/** Whether the instance of one gate is cold, as far as the gate knows. */
export class ColdState {
  /** Undefined until a configuration with them is known. */
  #limits: ColdLimits | undefined;
  #coldUntilMs = -Infinity;
  /** Since when no report says whether the instance is cold. */
  #assumedSinceMs: number | undefined;

  constructor(nowMs: number) {
    this.#assumedSinceMs = nowMs;
  }

  /** Sets the limits of the service; undefined if they aren't known. */
  configure(limits: ColdLimits | undefined): void {
    this.#limits = limits;
  }

  /** Applies what the instance reported. */
  report(coldForMs: number, nowMs: number): void {
    this.#coldUntilMs = nowMs + coldForMs;
    this.#assumedSinceMs = undefined;
  }

  /** The instance may have become cold without a report. */
  assumeCold(nowMs: number): void {
    this.#assumedSinceMs = nowMs;
  }

  /** The pacing in force; undefined without one. */
  pace(nowMs: number): ColdPace | undefined {
    const {warmupMs, coldPerS} = this.#limits ?? {};
    if (warmupMs === 0 || coldPerS === 0) return undefined;
    // After the longest warm-up, an instance that was cold at first is warm.
    const assumedUntilMs =
      this.#assumedSinceMs === undefined
        ? -Infinity
        : this.#assumedSinceMs + (warmupMs ?? Infinity);
    const untilMs = Math.max(this.#coldUntilMs, assumedUntilMs);
    if (nowMs >= untilMs) return undefined;
    if (coldPerS === undefined) {
      const perS = UNKNOWN_LIMITS_PER_S;
      return {perS, cap: CAP_SLACK, cause: 'unknown', untilMs};
    }
    const cause = this.#assumedSinceMs === undefined ? 'reported' : 'assumed';
    const cap = Math.floor(coldPerS * CAP_OVERAGE + CAP_SLACK);
    return {perS: coldPerS, cap, cause, untilMs};
  }
}
