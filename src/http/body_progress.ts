/**
 * Judges whether a body in progress is still sent: it must not stay without
 * progress, nor below a minimum rate.
 */

/** What a caller that sends a body has to keep to. */
export interface ProgressLimits {
  /** Longest time without a byte, in milliseconds. */
  readonly stallMs: number;
  /** Lowest mean rate over `rateWindowMs`, in bytes per second. */
  readonly minBytesPerS: number;
  readonly rateWindowMs: number;
}

/** How a body in progress fails to keep to the limits. */
export type ProgressFault = 'stalled' | 'slow';

/** The progress of one body; all times are readings of the monotonic clock. */
export class BodyProgress {
  readonly #limits: ProgressLimits;
  #lastAtMs: number;
  #windowStartAtMs: number;
  #windowBytes = 0;

  constructor(limits: ProgressLimits, nowMs: number) {
    this.#limits = limits;
    this.#lastAtMs = nowMs;
    this.#windowStartAtMs = nowMs;
  }

  record(bytes: number, nowMs: number): void {
    this.#lastAtMs = nowMs;
    this.#windowBytes += bytes;
  }

  /** Starts anew, because the daemon itself read nothing until now. */
  restart(nowMs: number): void {
    this.#lastAtMs = nowMs;
    this.#windowStartAtMs = nowMs;
    this.#windowBytes = 0;
  }

  /** Undefined while the body keeps to the limits. */
  check(nowMs: number): ProgressFault | undefined {
    const {stallMs, minBytesPerS, rateWindowMs} = this.#limits;
    if (nowMs - this.#lastAtMs >= stallMs) return 'stalled';
    const windowMs = nowMs - this.#windowStartAtMs;
    if (windowMs < rateWindowMs) return undefined;
    const isSlow = this.#windowBytes * 1000 < minBytesPerS * windowMs;
    this.#windowStartAtMs = nowMs;
    this.#windowBytes = 0;
    return isSlow ? 'slow' : undefined;
  }
}
