/** The rule by which a request may be tried once more. */
import type {Outcome, Work} from '../gate/work.js';

/** True if what became of the work allows one more attempt. */
export function mayGoAgain(outcome: Outcome, work: Work): boolean {
  if (outcome.kind === 'answered' || work.signal.aborted) return false;
  if (work.body?.isReplayable === false) return false;
  if (performance.now() >= work.deadlineAtMs) return false;
  return outcome.kind === 'not-run' || work.idempotent;
}
