/** Decides from when on a holder's new bucket may gain tokens. */
import {LOAN_LAPSE_MS} from './escrow_rules.js';

/** Times on the monotonic clock, in milliseconds. */
export interface RefillStartTimes {
  readonly nowMs: number;
  readonly processStartedAtMs: number;
  /** Undefined until the settling time of the generation is known. */
  readonly movedDutiesFromMs: number | undefined;
}

/**
 * Returns the time from which a bucket gains tokens. The previous process of
 * this daemon may have spent its burst just before it ended, and its loans may
 * still be valid. So the bucket gains nothing until those loans are void, and
 * nothing before this daemon could use its whole share.
 */
export function refillStartMs(times: RefillStartTimes): number {
  const {nowMs, processStartedAtMs, movedDutiesFromMs: fromMs} = times;
  const movedMs = fromMs === undefined ? nowMs : fromMs + LOAN_LAPSE_MS;
  const ownMs = processStartedAtMs + LOAN_LAPSE_MS;
  return Math.max(ownMs, Math.min(nowMs, movedMs));
}
