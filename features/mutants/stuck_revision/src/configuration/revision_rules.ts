/** Mutant: stays at the first revision, as if it could load no other. */
const FIRST_REVISION = 2;

export function mayReplace(inForce: number, next: number): boolean {
  return inForce < FIRST_REVISION && next > inForce;
}

/** Mutant: whatever was loaded comes into force. */
export function mayEnforce(): boolean {
  return true;
}
