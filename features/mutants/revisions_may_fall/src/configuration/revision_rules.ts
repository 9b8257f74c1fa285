/** Mutant: any other revision replaces the one in force. */
export function mayReplace(inForce: number, next: number): boolean {
  return next !== inForce;
}

/** Mutant: whatever was loaded comes into force. */
export function mayEnforce(): boolean {
  return true;
}
