/**
 * Computes the time after which a refused caller should retry: not before a
 * slot or a token is expected to be free, with jitter so that callers refused
 * together don't retry together, and early enough that the retry can be served
 * before the caller times out.
 *
 * Designed for bursts of refused requests, which would otherwise return as one
 * burst.
 */

/** An earlier retry would only add load. */
const MIN_RETRY_AFTER_MS = 100;
/** The wait is extended at random by up to this share of itself. */
const JITTER_RATIO = 0.5;
/** Callers ignore a wait longer than this share of the time they have left. */
const MAX_REMAINING_SHARE = 0.33;

/** Returns the time until the retry, in milliseconds. */
export function computeRetryAfterMs(
  waitMs: number,
  leftMs: number,
  random: () => number = Math.random,
): number {
  const capMs = Math.max(MIN_RETRY_AFTER_MS, leftMs * MAX_REMAINING_SHARE);
  const jitteredMs =
    Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + random() * JITTER_RATIO);
  return Math.min(capMs, jitteredMs);
}
