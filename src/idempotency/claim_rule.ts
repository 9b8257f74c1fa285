/**
 * The rule that decides whether a request with an idempotency key may run;
 * free of I/O. Each key has two holders, and both record every attempt before
 * it runs. One holder that has recorded the whole retention time and doesn't
 * know the key therefore proves that no request with it ran. A holder that was
 * restarted proves nothing, and one that doesn't answer may have a record. If
 * one of the two proves nothing, both must confirm afterwards that they still
 * hold the claim: otherwise two attempts could each have claimed the key at
 * one of the holders before it crashed.
 */
import type {ClaimAnswer, FirstRequestState} from './messages.js';

/** A holder's answer, or `silent` if there was none within the time-out. */
export type HolderAnswer = ClaimAnswer | {readonly answer: 'silent'};

/** Whether the request may run; `confirm` needs both holders' confirmation. */
export type ClaimVerdict =
  | {readonly verdict: 'run'}
  | {readonly verdict: 'confirm'}
  | {readonly verdict: 'seen'; readonly first: FirstRequestState}
  | {readonly verdict: 'unsure'; readonly retryAfterMs: number};

/** Retry-after time if a holder did not answer. */
export const NO_ANSWER_RETRY_AFTER_MS = 1000;

/**
 * Decides from the answers of a key's holders. There are fewer answers than
 * `holderCount` if a holder refused or didn't answer, since the later ones
 * aren't asked then.
 */
export function decideClaim(
  answers: readonly HolderAnswer[],
  holderCount: number,
): ClaimVerdict {
  const seen = answers.find(answer => answer.answer === 'seen');
  if (seen) return {verdict: 'seen', first: seen.first};
  const fresh = answers.filter(answer => answer.answer === 'fresh');
  if (fresh.length === 0 || fresh.length < holderCount) {
    return {verdict: 'unsure', retryAfterMs: NO_ANSWER_RETRY_AFTER_MS};
  }
  const forgetfulMs = Math.min(...fresh.map(answer => answer.forgetfulMs));
  if (forgetfulMs > 0) return {verdict: 'unsure', retryAfterMs: forgetfulMs};
  const isProvenByAll = fresh.every(answer => answer.forgetfulMs === 0);
  return {verdict: isProvenByAll ? 'run' : 'confirm'};
}
