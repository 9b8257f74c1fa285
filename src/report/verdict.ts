/**
 * Classifies requests for the service-level report. Each request whose route
 * and customer are known gets one verdict.
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
 * `good`: answered within the latency objective, without a server error.
 * `slow`: answered without a server error, but later than the objective.
 * `overRate`: refused because the customer exceeded its rate.
 * `refused`: not run, although the customer was within its rate.
 * `failed`: the backend server responded with a server error.
 * `unknown`: no response, but the request may have run.
 * `cancelled`: the caller closed the connection before the response.
 * `repeated`: the idempotency key had been used before.
 */
export type Verdict = (typeof VERDICTS)[number];

/** Verdicts that spend the error budget. */
export const BAD_VERDICTS = ['slow', 'refused', 'failed', 'unknown'] as const;

/** A verdict that spends the error budget. */
export type BadVerdict = (typeof BAD_VERDICTS)[number];

/** Requests by verdict, in the order of {@link VERDICTS}. */
export type Counts = readonly number[];

const FIRST_SERVER_ERROR = 500;

/**
 * Returns the verdict on the outcome of a gate. `elapsedMs` is the time until
 * the response headers.
 */
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

/** Returns the verdict on a request refused before it reached a gate. */
export function verdictOfRefusal(refusal: RefusalName): Verdict {
  return refusal === 'over-rate' ? 'overRate' : 'refused';
}

/** Returns the count of one verdict. */
export function countOf(counts: Counts, verdict: Verdict): number {
  return counts[VERDICTS.indexOf(verdict)] ?? 0;
}

/** Adds two counts, verdict by verdict. */
export function addCounts(a: Counts, b: Counts): Counts {
  return VERDICTS.map((_, index) => (a[index] ?? 0) + (b[index] ?? 0));
}
