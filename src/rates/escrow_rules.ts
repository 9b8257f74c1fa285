/**
 * The rules that the escrow's safety rests on, apart from the tasks that
 * apply them. Times are milliseconds on the monotonic clock.
 */
import type {Vouch} from '../member/generation.js';
import {minShare, type Share} from './micro_tokens.js';

/** How long a borrower may spend, counted from when it sent the ask. */
export const LOAN_LIFETIME_MS = 2000;

/** After this a lender knows that a loan is void, counted from the grant. */
export const LOAN_LAPSE_MS = 2200;

/** A holder grants only while it is sure that it is still a holder. */
export function mayGrant(vouch: Vouch | undefined, generation: number) {
  return vouch !== undefined && vouch.generation >= generation - 1;
}

/** What a bucket may gain: loans that are out count against the burst. */
export function unusedBurstMicros(
  share: Share,
  levelMicros: number,
  outstandingMicros: number,
): number {
  return Math.max(0, share.burstMicros - levelMicros - outstandingMicros);
}

/** When a daemon may use its share of the current generation in full. */
export interface ShareTimes {
  readonly nowMs: number;
  /** Undefined while it isn't known when the generation settled. */
  readonly movedDutiesFromMs: number | undefined;
}

/** Shares shrink at once and grow only when nobody uses the old ones. */
export function usableShare(
  previous: Share,
  current: Share,
  times: ShareTimes,
) {
  const {nowMs, movedDutiesFromMs: fromMs} = times;
  const isMoved = fromMs !== undefined && nowMs >= fromMs + LOAN_LAPSE_MS;
  return isMoved ? current : minShare(previous, current);
}

/** True while a borrower may spend what it got for an ask. */
export function isLoanValid(requestedAtMs: number, nowMs: number): boolean {
  return nowMs < requestedAtMs + LOAN_LIFETIME_MS;
}
