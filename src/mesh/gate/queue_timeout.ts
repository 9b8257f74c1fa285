/**
 * Queue timeout: how long a request waits for a slot.
 *
 * Designed for short calls that share their instances with work that lasts far
 * longer, while all slots are taken.
 */

/** Time reserved for the work itself, as a multiple of its expected time. */
const WORK_TIME_FACTOR = 2;

/**
 * The queue timeout of a request. A slot that is granted too late to finish the
 * work only takes capacity from other requests. Waiting past the objective
 * makes every request late for as long as the queue stays that long. An
 * instance that is slow at the moment is no reason for a shorter timeout, so
 * the work is expected to take no longer than its objective.
 */
export function queueTimeoutMs(
  objectiveMs: number,
  leftMs: number,
  expectedMs: number,
): number {
  const workMs = Math.min(expectedMs, objectiveMs);
  return Math.max(1, Math.min(objectiveMs, leftMs - WORK_TIME_FACTOR * workMs));
}
