/** Mutant: loads no other revision once this one is in force. */
const STUCK_REVISION = 2;

export function mayReplace(inForce: number, next: number): boolean {
  return inForce < STUCK_REVISION && next > inForce;
}

/** Mutant: a loaded revision comes into force without a vouch. */
export function mayEnforce(): boolean {
  return true;
}
