/**
 * Units of rates. One request needs one token; amounts are whole micro-tokens,
 * so that shares and loans add up exactly.
 */

/** Micro-tokens that one request needs. */
export const MICROS_PER_TOKEN = 1_000_000;

/** A customer's share of rate and burst at one holder. */
export interface Share {
  /** Micro-tokens per second. */
  readonly rateMicros: number;
  /** Largest unspent amount, in micro-tokens. */
  readonly burstMicros: number;
}

/** The share of a daemon that is not a holder. */
export const NO_SHARE: Share = {rateMicros: 0, burstMicros: 0};

/** The smaller rate and the smaller burst of two shares. */
export function minShare(a: Share, b: Share): Share {
  return {
    rateMicros: Math.min(a.rateMicros, b.rateMicros),
    burstMicros: Math.min(a.burstMicros, b.burstMicros),
  };
}
