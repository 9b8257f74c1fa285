/**
 * The rule that an instance is ejected only while a permit from the authority
 * over the floor is valid.
 */

/** Lifetime of a permit; the gate counts it from when it sent the request. */
export const PERMIT_LIFETIME_MS = 3000;

/** Time after which others treat a permit as void, allowing for clock drift. */
export const PERMIT_VOID_MS = 3300;

/** True if an instance may be ejected, or stay ejected. */
export function mayBeEjected(
  permitUntilMs: number | undefined,
  nowMs: number,
): boolean {
  return permitUntilMs !== undefined && nowMs < permitUntilMs;
}
