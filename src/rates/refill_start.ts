/** From when on a holder's bucket may gain. */
import {LOAN_LAPSE_MS} from './escrow_rules.js';

/** What the opening of a bucket depends on; monotonic clock, milliseconds. */
export interface RefillStartTimes {
  readonly nowMs: number;
  readonly processStartedAtMs: number;
  /** Undefined while it isn't known when the generation settled. */
  readonly movedDutiesFromMs: number | undefined;
}

/**
 * A process that starts may follow one whose loans are still out, and that
 * had just spent its burst. So nothing is gained until those loans are void,
 * and nothing before this daemon could use all of its share.
 */
export function refillStartMs(times: RefillStartTimes): number {
  const {nowMs, processStartedAtMs, movedDutiesFromMs: fromMs} = times;
  const movedMs = fromMs === undefined ? nowMs : fromMs + LOAN_LAPSE_MS;
  const ownMs = processStartedAtMs + LOAN_LAPSE_MS;
  return Math.max(ownMs, Math.min(nowMs, movedMs));
}
