/**
 * The rule that keeps configuration from reverting: a revision comes into
 * force only if it is above the one in force.
 */

/** Whether `next` may replace `inForce`. */
export function mayReplace(inForce: number, next: number): boolean {
  return next > inForce;
}
