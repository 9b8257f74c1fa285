/** Mutant: an instance is ejected without a permit. */

export const PERMIT_LIFETIME_MS = 3000;
export const PERMIT_VOID_MS = 3300;

/** The gate ejects an instance without a permit from the authority. */
export function mayBeEjected(): boolean {
  return true;
}
