/** The rule by which a withdrawn key stops working within seconds. */

/** How long a daemon may be behind the vouched revision to fetch it. */
export const BEHIND_GRACE_MS = 2000;

/** Whether keys are fresh enough to authenticate requests. */
export function areKeysFresh(isVouched: boolean, behindForMs: number): boolean {
  return isVouched && behindForMs <= BEHIND_GRACE_MS;
}
