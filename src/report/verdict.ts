/**
 * What a request meant for the service level: one verdict for each request
 * that found its route and its customer.
 */
import type {Outcome} from '../gate/work.js';
import type {RefusalName} from '../router/refusals.js';

/** Every verdict, in the order of the counts of a cell. */
export const VERDICTS = [
  'good',
  'slow',
  'overRate',
  'refused',
  'failed',
  'unknown',
  'cancelled',
  'repeated',
] as const;

/**
 * `good`: answered in time, and not by a server error. `slow`: the same, but
 * later than the objective. `overRate`: the customer was over its rate.
 * `refused`: not run, although within its rate. `failed`: the backend server
 * answered with a server error. `unknown`: it may have run. `cancelled`: the
 * caller went away first. `repeated`: its idempotency key came before.
 */
export type Verdict = (typeof VERDICTS)[number];

/** Verdicts that spend the error budget. */
export const BAD_VERDICTS = ['slow', 'refused', 'failed', 'unknown'] as const;

/** A verdict that spends the error budget. */
export type BadVerdict = (typeof BAD_VERDICTS)[number];

/** Requests by verdict, in the order of {@link VERDICTS}. */
export type Counts = readonly number[];

const FIRST_SERVER_ERROR = 500;

/** The verdict on an outcome; `elapsedMs` ends with the answer's headers. */
export function verdictOfOutcome(
  outcome: Outcome,
  elapsedMs: number,
  objectiveLatencyMs: number,
): Verdict {
  if (outcome.kind === 'answered') {
    if (outcome.status >= FIRST_SERVER_ERROR) return 'failed';
    return elapsedMs > objectiveLatencyMs ? 'slow' : 'good';
  }
  if (outcome.reason === 'cancelled') return 'cancelled';
  return outcome.kind === 'not-run' ? 'refused' : 'unknown';
}

/** The verdict on a refusal that came before any gate was asked. */
export function verdictOfRefusal(refusal: RefusalName): Verdict {
  return refusal === 'over-rate' ? 'overRate' : 'refused';
}

/** The count of one verdict. */
export function countOf(counts: Counts, verdict: Verdict): number {
  return counts[VERDICTS.indexOf(verdict)] ?? 0;
}

/** The sum of two counts. */
export function addCounts(a: Counts, b: Counts): Counts {
  return VERDICTS.map((_, index) => (a[index] ?? 0) + (b[index] ?? 0));
}
