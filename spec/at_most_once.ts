/**
 * Specification of idempotency keys: two routers claim the same key at its two
 * holders (daemons that store the key), one holder after the other. Replies and
 * releases may get lost, and holders may crash at any time and restart without
 * their entries. Within the retention time no key runs twice.
 */
import type {Specification} from './explore.js';

const ATTEMPTS = [0, 1] as const;
const HOLDERS = [0, 1] as const;

type Reply = 'none' | 'fresh' | 'forgetful' | 'silent';

interface Attempt {
  readonly replies: readonly Reply[];
  /** Number of holders that confirmed that they still store the claim. */
  readonly confirmed: number;
  readonly state: 'claiming' | 'ran' | 'refused';
}

/** A state of the specification. */
export interface ClaimState {
  /** Index of the attempt that each holder has stored, or -1. */
  readonly entries: readonly number[];
  /** Holders that crashed, and so may have lost entries. */
  readonly forgetful: readonly boolean[];
  readonly attempts: readonly Attempt[];
}

/** An event of the specification. */
export type ClaimEvent =
  | {
      readonly type: 'claim';
      readonly attempt: number;
      readonly replyLost: boolean;
    }
  | {readonly type: 'confirm'; readonly attempt: number}
  | {readonly type: 'decide'; readonly attempt: number}
  | {
      readonly type: 'release';
      readonly attempt: number;
      readonly holder: number;
    }
  | {readonly type: 'crash'; readonly holder: number};

/** Rules of the protocol; a mutant omits one of them. */
export interface ClaimRules {
  /** The key must be claimed at both holders. */
  readonly claimBoth: boolean;
  /** At least one holder must not have lost entries. */
  readonly memory: boolean;
  /** A holder that doesn't reply counts as a refusal. */
  readonly silence: boolean;
  /** If a holder may have lost entries, both must confirm the claim. */
  readonly confirm: boolean;
  /** A claim is released only if the request certainly did not run. */
  readonly releaseNotRun: boolean;
}

const NEW_ATTEMPT: Attempt = {
  replies: ['none', 'none'],
  confirmed: 0,
  state: 'claiming',
};

const INITIAL_STATE: ClaimState = {
  entries: [-1, -1],
  forgetful: [false, false],
  attempts: [NEW_ATTEMPT, NEW_ATTEMPT],
};

const EVENTS: readonly ClaimEvent[] = [
  ...ATTEMPTS.flatMap(attempt => [
    {type: 'claim' as const, attempt, replyLost: false},
    {type: 'claim' as const, attempt, replyLost: true},
    {type: 'confirm' as const, attempt},
    {type: 'decide' as const, attempt},
    ...HOLDERS.map(holder => ({type: 'release' as const, attempt, holder})),
  ]),
  ...HOLDERS.map(holder => ({type: 'crash' as const, holder})),
];

function updateAttempt(
  state: ClaimState,
  index: number,
  update: Partial<Attempt>,
): ClaimState {
  const attempt = {...(state.attempts[index] ?? NEW_ATTEMPT), ...update};
  return {...state, attempts: state.attempts.with(index, attempt)};
}

/** Ends an attempt and resets its replies, which no longer matter. */
function finish(
  state: ClaimState,
  index: number,
  outcome: 'ran' | 'refused',
): ClaimState {
  return updateAttempt(state, index, {...NEW_ATTEMPT, state: outcome});
}

function claim(
  state: ClaimState,
  index: number,
  replyLost: boolean,
): ClaimState {
  const {replies, state: phase} = state.attempts[index] ?? NEW_ATTEMPT;
  const holder = replies.indexOf('none');
  if (phase !== 'claiming' || holder < 0) return state;
  const actualReply: Reply = state.forgetful[holder] ? 'forgetful' : 'fresh';
  const reply = replyLost ? 'silent' : actualReply;
  const replied = updateAttempt(state, index, {
    replies: replies.with(holder, reply),
  });
  if ((state.entries[holder] ?? -1) < 0) {
    return {...replied, entries: state.entries.with(holder, index)};
  }
  return replyLost ? replied : finish(state, index, 'refused');
}

function confirm(state: ClaimState, index: number): ClaimState {
  const {
    replies,
    confirmed,
    state: phase,
  } = state.attempts[index] ?? NEW_ATTEMPT;
  const isDue = !replies.includes('none') && confirmed < HOLDERS.length;
  if (phase !== 'claiming' || !isDue) return state;
  if (state.entries[confirmed] !== index) {
    return finish(state, index, 'refused');
  }
  return updateAttempt(state, index, {confirmed: confirmed + 1});
}

function mayRun(attempt: Attempt, rules: ClaimRules): boolean {
  const {replies, confirmed} = attempt;
  const needsConfirmation = rules.confirm && replies.includes('forgetful');
  if (needsConfirmation && confirmed < HOLDERS.length) return false;
  if (rules.silence && replies.includes('silent')) return false;
  return !rules.memory || replies.includes('fresh');
}

function decide(
  state: ClaimState,
  index: number,
  rules: ClaimRules,
): ClaimState {
  const attempt = state.attempts[index] ?? NEW_ATTEMPT;
  const replyCount = attempt.replies.filter(reply => reply !== 'none').length;
  const needed = rules.claimBoth ? HOLDERS.length : 1;
  if (attempt.state !== 'claiming' || replyCount < needed) return state;
  return finish(state, index, mayRun(attempt, rules) ? 'ran' : 'refused');
}

/** A release reaches a holder; a lost release changes nothing. */
function release(
  state: ClaimState,
  index: number,
  holder: number,
  rules: ClaimRules,
): ClaimState {
  const {state: phase} = state.attempts[index] ?? NEW_ATTEMPT;
  const isReleased = phase === 'refused' || !rules.releaseNotRun;
  if (!isReleased || phase === 'claiming') return state;
  if (state.entries[holder] !== index) return state;
  return {...state, entries: state.entries.with(holder, -1)};
}

/** A holder loses its entry; later crashes leave it as forgetful as before. */
function crash(state: ClaimState, holder: number): ClaimState {
  return {
    ...state,
    entries: state.entries.with(holder, -1),
    forgetful: state.forgetful.with(holder, true),
  };
}

/** The specification with the given rules. */
export function atMostOnce(
  rules: ClaimRules,
): Specification<ClaimState, ClaimEvent> {
  const handlers = {
    claim: (s: ClaimState, e: ClaimEvent & {type: 'claim'}) =>
      claim(s, e.attempt, e.replyLost),
    confirm: (s: ClaimState, e: ClaimEvent & {type: 'confirm'}) =>
      confirm(s, e.attempt),
    decide: (s: ClaimState, e: ClaimEvent & {type: 'decide'}) =>
      decide(s, e.attempt, rules),
    release: (s: ClaimState, e: ClaimEvent & {type: 'release'}) =>
      release(s, e.attempt, e.holder, rules),
    crash: (s: ClaimState, e: ClaimEvent & {type: 'crash'}) =>
      crash(s, e.holder),
  };
  return {
    name: 'at most once',
    start: INITIAL_STATE,
    events: EVENTS,
    step: (state, event) => handlers[event.type](state, event as never),
    violation: state => {
      const ran = state.attempts.filter(attempt => attempt.state === 'ran');
      return ran.length > 1 ? 'a key ran twice' : undefined;
    },
  };
}
