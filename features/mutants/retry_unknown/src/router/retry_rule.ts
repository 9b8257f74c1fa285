/** Left out: a request that may have run goes again only if idempotent. */
import type {Outcome} from '../../../../../src/gate/work.js';

/** Allows one more attempt whenever no answer came. */
export function mayGoAgain(outcome: Outcome): boolean {
  return outcome.kind !== 'answered';
}
