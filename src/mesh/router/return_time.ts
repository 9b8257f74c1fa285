/**
 * When a refused caller should come back: not before a slot or a token is
 * expected, spread so that those refused together don't return together, and
 * early enough to be served before the caller gives up.
 *
 * Pattern: a burst that is refused returns as one burst.
 */

/** Coming back sooner only adds load, in milliseconds. */
const MIN_RETURN_MS = 100;
/** The wait is spread over this share of itself. */
const SPREAD = 0.5;
/** Callers heed no longer wait than this share of the time they have left. */
const MAX_SHARE_OF_LEFT = 0.33;

/** Milliseconds from now. */
export function returnAfterMs(
  waitMs: number,
  leftMs: number,
  random: () => number = Math.random,
): number {
  const capMs = Math.max(MIN_RETURN_MS, leftMs * MAX_SHARE_OF_LEFT);
  const spreadMs = Math.max(MIN_RETURN_MS, waitMs) * (1 + random() * SPREAD);
  return Math.min(capMs, spreadMs);
}
