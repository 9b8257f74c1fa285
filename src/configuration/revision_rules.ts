/**
 * The rules that prevent a daemon from reverting to an older configuration.
 * The specifications "configuration order" and "configuration in force" in
 * `spec/` explore them.
 */

/** Whether revision `next` may replace revision `inForce`. */
export function mayReplace(inForce: number, next: number): boolean {
  return next > inForce;
}

/** Revisions that a majority of the witnesses vouches for, as known here. */
export interface VouchedRevisions {
  /** The first one received after this process started. */
  readonly floor: number;
  /** The highest one received. */
  readonly highest: number;
}

/**
 * Whether a loaded revision may come into force. A majority of the witnesses
 * must know it, so that it isn't lost when daemons restart. It must not be
 * older than the revision that they vouched for when this process started,
 * because that one may have been in force here before the restart.
 */
export function mayEnforce(
  revision: number,
  vouched: VouchedRevisions | undefined,
): boolean {
  if (vouched === undefined) return false;
  return revision >= vouched.floor && revision <= vouched.highest;
}
