/**
 * Amounts of rate. One request needs one token; amounts are counted in whole
 * micro-tokens, so that shares and loans add up exactly.
 */

/** Micro-tokens that one request needs. */
export const MICROS_PER_TOKEN = 1_000_000;

/** A customer's share of rate and burst at one holder. */
export interface Share {
  /** Micro-tokens per second. */
  readonly rateMicros: number;
  /** Micro-tokens that may be unspent at once. */
  readonly burstMicros: number;
}

/** The share of a daemon that holds nothing. */
export const NO_SHARE: Share = {rateMicros: 0, burstMicros: 0};

/** What both shares allow. */
export function minShare(a: Share, b: Share): Share {
  return {
    rateMicros: Math.min(a.rateMicros, b.rateMicros),
    burstMicros: Math.min(a.burstMicros, b.burstMicros),
  };
}
