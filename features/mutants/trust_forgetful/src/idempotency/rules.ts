/** Left out: a holder must remember, and both must answer. */
import type {
  ClaimAnswer,
  FirstRun,
} from '../../../../../src/idempotency/messages.js';

export type HolderAnswer = ClaimAnswer | {readonly answer: 'silent'};

export type Verdict =
  | {readonly verdict: 'run'}
  | {readonly verdict: 'seen'; readonly first: FirstRun}
  | {readonly verdict: 'unsure'; readonly retryAfterMs: number};

export const SILENT_RETRY_MS = 1000;

/** Runs whatever nobody has seen. */
export function decideClaim(answers: readonly HolderAnswer[]): Verdict {
  const seen = answers.find(answer => answer.answer === 'seen');
  return seen ? {verdict: 'seen', first: seen.first} : {verdict: 'run'};
}
