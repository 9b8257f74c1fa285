/**
 * Specification of the repeat budget's tokens, each of which is issued once.
 * Two daemons issue one token per tick each and pay them to whichever daemon
 * they consider the owner. They may disagree about the owner at any time;
 * payments take any time or are lost, and daemons restart. In any window, no
 * more repeats may be sent than tokens were issued in it and in one token
 * lifetime before it.
 */
import type {Specification} from './explore.js';

/** Lifetime and window in ticks. */
const LIFETIME_TICKS = 1;
const WINDOW_TICKS = 1;
const DAEMONS = [0, 1] as const;
const ALLOWED = DAEMONS.length * (WINDOW_TICKS + LIFETIME_TICKS);
/** Caps the tokens of one age in one place; only mutants exceed it. */
const MAX_COUNTED = 3;

/** Token counts by age in ticks; the last entry expires at the next tick. */
type Tokens = readonly number[];

interface Daemon {
  readonly unpaid: Tokens;
  /** A payment in transit, and its receiver. */
  readonly sent: {readonly owner: number; readonly tokens: Tokens} | null;
  /** Tokens that daemons paid to this one, including its own. */
  readonly pool: Tokens;
}

/** A state of the specification. */
export interface TokensState {
  readonly daemons: readonly Daemon[];
  /** Repeats sent in each of the last ticks, the current tick first. */
  readonly repeats: readonly number[];
}

/** An event of the specification. */
export type TokensEvent =
  | {readonly type: 'tick'}
  | {readonly type: 'pay'; readonly daemon: number; readonly owner: number}
  | {readonly type: 'deliver'; readonly daemon: number}
  | {readonly type: 'lose'; readonly daemon: number}
  | {readonly type: 'repeat'; readonly owner: number}
  | {readonly type: 'restart'; readonly daemon: number};

/** Rules of the specification; a mutant leaves one of them out. */
export const REPEAT_TOKENS_RULES = [
  /** Tokens that were paid are removed, so they can't be paid again. */
  'deductBeforePay',
  /** A daemon issues only its own part, whoever the owner is. */
  'ownPart',
  /** Tokens expire after their lifetime. */
  'expire',
  /** The age of tokens counts from their issue, also in transit. */
  'ageFromMaking',
] as const;
type TokensRules = Readonly<
  Record<(typeof REPEAT_TOKENS_RULES)[number], boolean>
>;

const NONE: Tokens = Array.from({length: LIFETIME_TICKS + 1}, () => 0);
const INITIAL_STATE: TokensState = {
  daemons: DAEMONS.map(() => ({unpaid: NONE, sent: null, pool: NONE})),
  repeats: Array.from({length: WINDOW_TICKS}, () => 0),
};

const EVENTS: readonly TokensEvent[] = [
  {type: 'tick'},
  ...DAEMONS.flatMap(daemon => [
    ...DAEMONS.map(owner => ({type: 'pay' as const, daemon, owner})),
    {type: 'deliver' as const, daemon},
    {type: 'lose' as const, daemon},
    {type: 'repeat' as const, owner: daemon},
    {type: 'restart' as const, daemon},
  ]),
];

const countOf = (tokens: Tokens) => tokens.reduce((a, b) => a + b);
const addTokens = (a: Tokens, b: Tokens) =>
  a.map((n, age) => Math.min(MAX_COUNTED, n + (b[age] ?? 0)));

function ageTokens(tokens: Tokens, rules: TokensRules): Tokens {
  const kept = rules.expire ? 0 : (tokens.at(-1) ?? 0);
  const aged = [0, ...tokens.slice(0, -1)];
  return aged.with(-1, Math.min(MAX_COUNTED, (aged.at(-1) ?? 0) + kept));
}

function withDaemon(
  state: TokensState,
  index: number,
  change: Partial<Daemon>,
): TokensState {
  const last = state.daemons[index];
  if (!last) return state;
  const daemons = state.daemons.with(index, {...last, ...change});
  return {...state, daemons};
}

function tick(state: TokensState, rules: TokensRules): TokensState {
  const made = rules.ownPart ? 1 : DAEMONS.length;
  return {
    daemons: state.daemons.map(({unpaid, sent, pool}) => ({
      unpaid: ageTokens(unpaid, rules).with(0, made),
      sent: sent && {...sent, tokens: ageInTransit(sent.tokens, rules)},
      pool: ageTokens(pool, rules),
    })),
    repeats: [0, ...state.repeats.slice(0, -1)],
  };
}

function ageInTransit(tokens: Tokens, rules: TokensRules): Tokens {
  return rules.ageFromMaking ? ageTokens(tokens, rules) : tokens;
}

function pay(
  state: TokensState,
  {daemon, owner}: {readonly daemon: number; readonly owner: number},
  rules: TokensRules,
): TokensState {
  const payer = state.daemons[daemon];
  if (!payer || payer.sent || countOf(payer.unpaid) === 0) return state;
  const unpaid = rules.deductBeforePay ? NONE : payer.unpaid;
  const sent = {owner, tokens: payer.unpaid};
  return withDaemon(state, daemon, {unpaid, sent});
}

function deliver(state: TokensState, daemon: number): TokensState {
  const sent = state.daemons[daemon]?.sent;
  if (!sent) return state;
  const afterSend = withDaemon(state, daemon, {sent: null});
  const pool = addTokens(
    afterSend.daemons[sent.owner]?.pool ?? NONE,
    sent.tokens,
  );
  return withDaemon(afterSend, sent.owner, {pool});
}

function lose(state: TokensState, daemon: number): TokensState {
  if (!state.daemons[daemon]?.sent) return state;
  return withDaemon(state, daemon, {sent: null});
}

/** The oldest token is used first. */
function repeat(state: TokensState, owner: number): TokensState {
  const pool = state.daemons[owner]?.pool ?? NONE;
  const age = pool.findLastIndex(count => count > 0);
  if (age < 0) return state;
  const used = withDaemon(state, owner, {
    pool: pool.with(age, (pool[age] ?? 0) - 1),
  });
  const repeats = used.repeats.with(0, (used.repeats[0] ?? 0) + 1);
  return {...used, repeats};
}

function restart(state: TokensState, daemon: number): TokensState {
  const known = state.daemons[daemon];
  if (!known || countOf(known.unpaid) + countOf(known.pool) === 0) return state;
  return withDaemon(state, daemon, {unpaid: NONE, pool: NONE});
}

/** The specification with the given rules. */
export function repeatTokens(
  rules: TokensRules,
): Specification<TokensState, TokensEvent> {
  type Of<Type extends TokensEvent['type']> = TokensEvent & {type: Type};
  const handlers = {
    tick: (s: TokensState) => tick(s, rules),
    pay: (s: TokensState, e: Of<'pay'>) => pay(s, e, rules),
    deliver: (s: TokensState, e: Of<'deliver'>) => deliver(s, e.daemon),
    lose: (s: TokensState, e: Of<'lose'>) => lose(s, e.daemon),
    repeat: (s: TokensState, e: Of<'repeat'>) => repeat(s, e.owner),
    restart: (s: TokensState, e: Of<'restart'>) => restart(s, e.daemon),
  };
  return {
    name: 'repeat tokens',
    start: INITIAL_STATE,
    events: EVENTS,
    step: (state, event) => {
      const handle = handlers[event.type] as (
        state: TokensState,
        event: TokensEvent,
      ) => TokensState;
      return handle(state, event);
    },
    violation: ({repeats}) =>
      countOf(repeats) > ALLOWED ? 'more repeats than tokens' : undefined,
  };
}
