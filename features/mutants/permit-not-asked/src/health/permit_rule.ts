/** Mutant: an instance is ejected without a permit. */

export const PERMIT_LIFETIME_MS = 3000;
export const PERMIT_VOID_AFTER_MS = 3300;

/** Any wish to eject is granted by the gate itself. */
export function mayBeEjected(): boolean {
  return true;
}
