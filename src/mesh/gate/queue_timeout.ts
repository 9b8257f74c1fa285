/**
 * Queue timeout: how long a request waits for a slot.
 *
 * Designed for short calls that share their instances with work that lasts far
 * longer, while all slots are taken.
 */

/** Time reserved for the work itself, as a multiple of its expected time. */
const WORKS_LEFT = 2;

/**
 * The queue timeout of a request. A slot that is granted too late to finish the
 * work only takes capacity from other requests. Waiting past the objective
 * makes every request late for as long as the queue stays that long. An
 * instance that is slow at the moment is no reason for a shorter timeout, so
 * the work is expected to take no longer than its objective.
 */
export function patienceOf(
  objectiveMs: number,
  leftMs: number,
  usualMs: number,
): number {
  const workMs = Math.min(usualMs, objectiveMs);
  return Math.max(1, Math.min(objectiveMs, leftMs - WORKS_LEFT * workMs));
}
