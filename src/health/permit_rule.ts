/** The rule that an instance is ejected only while a permit is valid. */

/** Lifetime of a permit; the gate counts from when it sent the ask. */
export const PERMIT_LIFETIME_MS = 3000;

/** Waited by others until a permit is surely void, with clocks that drift. */
export const PERMIT_VOID_AFTER_MS = 3300;

/** True if an instance may be, or stay, ejected. */
export function mayBeEjected(
  permitUntilMs: number | undefined,
  nowMs: number,
): boolean {
  return permitUntilMs !== undefined && nowMs < permitUntilMs;
}
