/**
 * The rules that keep configuration from reverting. `spec/` explores them as
 * "configuration order" and "configuration in force".
 */

/** Whether `next` may replace `inForce`. */
export function mayReplace(inForce: number, next: number): boolean {
  return next > inForce;
}

/** What the witnesses vouch for, as far as a daemon knows. */
export interface VouchedRevisions {
  /** The first word after the start of this process. */
  readonly floor: number;
  /** The highest word. */
  readonly highest: number;
}

/**
 * Whether a loaded revision may come into force: a majority of the witnesses
 * knows it, so that no restart forgets it; and it isn't below what they knew
 * when this process started, which may have been in force here before.
 */
export function mayEnforce(
  revision: number,
  vouched: VouchedRevisions | undefined,
): boolean {
  if (vouched === undefined) return false;
  return revision >= vouched.floor && revision <= vouched.highest;
}
