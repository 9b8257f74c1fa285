/** Mutant: any other revision, also an older one, replaces the current. */
export function mayReplace(inForce: number, next: number): boolean {
  return next !== inForce;
}

/** Mutant: a loaded revision comes into force without a vouch. */
export function mayEnforce(): boolean {
  return true;
}
