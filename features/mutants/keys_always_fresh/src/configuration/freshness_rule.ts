/** Mutant: keys are relied upon without a vouch. */
export function areKeysFresh(): boolean {
  return true;
}
