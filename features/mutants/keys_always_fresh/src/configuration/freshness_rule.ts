/** Mutant: keys are accepted without a vouch of the witnesses. */
export function areKeysFresh(): boolean {
  return true;
}
