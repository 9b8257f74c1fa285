/**
 * The rule by which a keyed request may run, apart from how the holders are
 * asked. Each key has two holders, which both record every attempt before it
 * runs. So one holder that remembers the whole retention time, and doesn't
 * know the key, is proof that it did not run; a holder that was restarted
 * proves nothing, and one that is silent may know better. If one of the two
 * proves nothing, both must confirm afterwards that the claim still stands:
 * else two attempts could each have claimed one before it crashed.
 */
import type {ClaimAnswer, FirstRun} from './messages.js';

/** A holder's answer, or `silent` if none came. */
export type HolderAnswer = ClaimAnswer | {readonly answer: 'silent'};

/** What follows from the answers of the holders. */
export type Verdict =
  | {readonly verdict: 'run'}
  | {readonly verdict: 'confirm'}
  | {readonly verdict: 'seen'; readonly first: FirstRun}
  | {readonly verdict: 'unsure'; readonly retryAfterMs: number};

/** When coming back helps after a holder was silent, in milliseconds. */
export const SILENT_RETRY_MS = 1000;

/**
 * Decides by the answers of a key's holders, of which there are
 * `holderCount`. The asking ends at the first answer that refuses.
 */
export function decideClaim(
  answers: readonly HolderAnswer[],
  holderCount: number,
): Verdict {
  const seen = answers.find(answer => answer.answer === 'seen');
  if (seen) return {verdict: 'seen', first: seen.first};
  const fresh = answers.filter(answer => answer.answer === 'fresh');
  if (fresh.length === 0 || fresh.length < holderCount) {
    return {verdict: 'unsure', retryAfterMs: SILENT_RETRY_MS};
  }
  const forgetfulMs = Math.min(...fresh.map(answer => answer.forgetfulMs));
  if (forgetfulMs > 0) return {verdict: 'unsure', retryAfterMs: forgetfulMs};
  const isSure = fresh.every(answer => answer.forgetfulMs === 0);
  return {verdict: isSure ? 'run' : 'confirm'};
}
