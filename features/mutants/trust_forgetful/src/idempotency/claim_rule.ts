/**
 * Mutant: a holder need not have recorded the whole retention time, and need
 * not answer at all.
 */
import type {
  ClaimAnswer,
  FirstRequestState,
} from '../../../../../src/idempotency/messages.js';

export type HolderAnswer = ClaimAnswer | {readonly answer: 'silent'};

export type ClaimVerdict =
  | {readonly verdict: 'run'}
  | {readonly verdict: 'seen'; readonly first: FirstRequestState}
  | {readonly verdict: 'unsure'; readonly retryAfterMs: number};

export const NO_ANSWER_RETRY_AFTER_MS = 1000;

/** Runs every request whose key no holder has recorded. */
export function decideClaim(answers: readonly HolderAnswer[]): ClaimVerdict {
  const seen = answers.find(answer => answer.answer === 'seen');
  return seen ? {verdict: 'seen', first: seen.first} : {verdict: 'run'};
}
