/**
 * The rules that make the escrow safe, as pure functions. Times are
 * milliseconds on the monotonic clock.
 */
import type {Vouch} from '../member/generation.js';
import {minShare, type Share} from './micro_tokens.js';

/** How long a borrower may spend a loan, from the sending of its request. */
export const LOAN_LIFETIME_MS = 2000;

/** Time from the grant after which the lender considers a loan void. */
export const LOAN_LAPSE_MS = 2200;

/** A holder grants only while a vouch confirms that it is still a holder. */
export function mayGrant(vouch: Vouch | undefined, generation: number) {
  return vouch !== undefined && vouch.generation >= generation - 1;
}

/** What a bucket may gain: outstanding loans count against the burst. */
export function unusedBurstMicros(
  share: Share,
  levelMicros: number,
  outstandingMicros: number,
): number {
  return Math.max(0, share.burstMicros - levelMicros - outstandingMicros);
}

/** Times that decide when a daemon may use its current share in full. */
export interface ShareTimes {
  readonly nowMs: number;
  /** Undefined until the settling time of the generation is known. */
  readonly movedDutiesFromMs: number | undefined;
}

/** A share shrinks at once and grows when no daemon uses old shares. */
export function usableShare(
  previous: Share,
  current: Share,
  times: ShareTimes,
) {
  const {nowMs, movedDutiesFromMs: fromMs} = times;
  const isMoved = fromMs !== undefined && nowMs >= fromMs + LOAN_LAPSE_MS;
  return isMoved ? current : minShare(previous, current);
}

/** True while a borrower may spend the loan of a request sent then. */
export function isLoanValid(requestedAtMs: number, nowMs: number): boolean {
  return nowMs < requestedAtMs + LOAN_LIFETIME_MS;
}
