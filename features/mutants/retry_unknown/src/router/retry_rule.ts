/** Mutant: retries a request that may have run even if not idempotent. */
import type {Outcome} from '../../../../../src/gate/work.js';

/** Allows one more attempt whenever there was no answer. */
export function mayRetry(outcome: Outcome): boolean {
  return outcome.kind !== 'answered';
}
