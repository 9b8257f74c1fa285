/** The rule that decides whether a request may be sent to a further gate. */
import type {Outcome, Work} from '../gate/work.js';

/** True if the outcome and the state of the work allow one more attempt. */
export function mayRetry(outcome: Outcome, work: Work): boolean {
  if (outcome.kind === 'answered' || work.signal.aborted) return false;
  if (work.body?.isReplayable === false) return false;
  if (performance.now() >= work.deadlineAtMs) return false;
  return outcome.kind === 'not-run' || work.idempotent;
}
