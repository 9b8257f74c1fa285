/**
 * How long a request waits in line for a slot.
 *
 * Pattern: short calls share their instances with work that lasts far longer,
 * and all slots are taken.
 */

/** Time that is kept for the work, in times that it is expected to take. */
const WORKS_LEFT = 2;

/**
 * A slot that comes too late for the work itself only takes it from others;
 * and waiting past the objective serves nobody in time while the line stays
 * as long. An instance that is slow now is no reason to give up sooner, so
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
