/** Mutant: a holder that starts has a full bucket at once. */
const LONG_AGO_MS = -1_000_000;

export function refillStartMs(): number {
  return LONG_AGO_MS;
}
