/** The rule that makes a withdrawn key stop working within seconds. */

/** How long a daemon may take to fetch what it is known to lack. */
export const BEHIND_GRACE_MS = 2000;

/** Whether keys may be relied upon. */
export function areKeysFresh(isVouched: boolean, behindForMs: number): boolean {
  return isVouched && behindForMs <= BEHIND_GRACE_MS;
}
