/**
 * Specification of the escrow. The first holder owns the whole rate, one token
 * per tick with a burst of three, and lends all of its tokens to a borrower. A
 * new generation moves the rate to a second holder. Messages may be lost,
 * delayed or duplicated, the first holder may restart, and any process may do
 * nothing for any number of ticks, which models a pause. Ages are counted in
 * ticks only as far as they matter, so that the exploration covers runs of any
 * length.
 *
 * A state is unsafe if more tokens were spent than a single token bucket with
 * that rate and burst would have admitted.
 */
import type {Specification} from './explore.js';

const BURST = 3;
const LOAN_TICKS = 2;
const VOUCH_TICKS = 2;
const MOVE_TICKS = VOUCH_TICKS + LOAN_TICKS;

/** The holder of the first generation. */
interface FirstHolder {
  readonly level: number;
  readonly closedTicks: number;
  readonly knowsNext: boolean;
  /** Age of its vouch, in ticks. */
  readonly vouchAge: number;
  /** Ticks since it requested a vouch; -1 if no request is pending. */
  readonly requestAge: number;
  /** The generation in the witnesses' answer. */
  readonly answer: 'none' | 'first' | 'next';
}

/** A loan of the first holder to the borrower. */
interface Loan {
  /** Ticks since the borrower's request; -1 if there is none. */
  readonly requestAge: number;
  /** Ticks since the grant; -1 if the lender has no record of one. */
  readonly grantAge: number;
  readonly reply: 'none' | 'under way' | 'taken';
  readonly granted: number;
  /** Tokens that the borrower can spend. */
  readonly held: number;
  /** Tokens that the lender counts as outstanding. */
  readonly open: number;
}

/** A state of the specification. */
export interface EscrowState {
  readonly first: FirstHolder;
  readonly loan: Loan;
  /** Ticks since the next generation settled; -1 before that. */
  readonly settledTicks: number;
  readonly secondLevel: number;
  /** Tokens left in a single bucket for the whole fleet. */
  readonly allowance: number;
}

/** An event of the specification. */
export interface EscrowEvent {
  readonly type: keyof typeof HANDLERS;
}

/** Rules that a mutant leaves out. */
export interface EscrowRules {
  /** Lent tokens leave the bucket before the reply is sent. */
  readonly deductBeforeSend: boolean;
  /** Outstanding tokens count against the burst. */
  readonly countLent: boolean;
  /** A borrower spends a loan only within its lifetime, from the request. */
  readonly expireLoans: boolean;
  /** A restarted holder grants nothing until old loans are void. */
  readonly closedAfterRestart: boolean;
  readonly emptyAfterRestart: boolean;
  /** A duplicated reply is applied once. */
  readonly takeOnce: boolean;
  readonly vouchNeeded: boolean;
  /** A vouch counts from the sending of its request. */
  readonly vouchFromSend: boolean;
  /** A moved share grows only after old vouches and loans are void. */
  readonly shrinkBeforeGrow: boolean;
}

/** The names of all rules. */
export const ESCROW_RULES: readonly (keyof EscrowRules)[] = [
  'deductBeforeSend',
  'countLent',
  'expireLoans',
  'closedAfterRestart',
  'emptyAfterRestart',
  'takeOnce',
  'vouchNeeded',
  'vouchFromSend',
  'shrinkBeforeGrow',
];

const NO_LOAN: Loan = {
  requestAge: -1,
  grantAge: -1,
  reply: 'none',
  granted: 0,
  held: 0,
  open: 0,
};

const START: EscrowState = {
  first: {
    level: BURST,
    closedTicks: 0,
    knowsNext: false,
    vouchAge: VOUCH_TICKS,
    requestAge: -1,
    answer: 'none',
  },
  loan: NO_LOAN,
  settledTicks: -1,
  secondLevel: 0,
  allowance: BURST,
};

type Step = (state: EscrowState, rules: EscrowRules) => EscrowState;

function incrementAge(age: number, limit: number): number {
  return age < 0 ? age : Math.min(limit, age + 1);
}

function spend(state: EscrowState): EscrowState {
  return {...state, allowance: state.allowance - 1};
}

function mayGrant({first}: EscrowState, rules: EscrowRules): boolean {
  const vouched = first.vouchAge < VOUCH_TICKS || !rules.vouchNeeded;
  const open = first.closedTicks === 0;
  return vouched && open && !first.knowsNext && first.level > 0;
}

function roomOf({loan}: EscrowState, rules: EscrowRules): number {
  return BURST - (rules.countLent ? loan.open : 0);
}

function tickFirst(state: EscrowState, rules: EscrowRules): FirstHolder {
  const {first} = state;
  const gains = first.closedTicks === 0 && !first.knowsNext;
  const room = Math.max(first.level, roomOf(state, rules));
  return {
    ...first,
    level: gains ? Math.min(room, first.level + 1) : first.level,
    closedTicks: Math.max(0, first.closedTicks - 1),
    vouchAge: incrementAge(first.vouchAge, VOUCH_TICKS),
    requestAge: incrementAge(first.requestAge, VOUCH_TICKS),
  };
}

/** Drops state that no longer matters, so that equivalent states merge. */
function tickLoan(loan: Loan, rules: EscrowRules): Loan {
  const grantAge = incrementAge(loan.grantAge, LOAN_TICKS);
  const lapsed = grantAge === LOAN_TICKS;
  const isVoid = incrementAge(loan.requestAge, LOAN_TICKS) === LOAN_TICKS;
  if (lapsed && isVoid && rules.expireLoans) return NO_LOAN;
  return {
    ...loan,
    requestAge: incrementAge(loan.requestAge, LOAN_TICKS),
    grantAge: lapsed ? -1 : grantAge,
    open: lapsed ? 0 : loan.open,
  };
}

const HANDLERS = {
  tick: (state, rules) => {
    const open =
      state.settledTicks >= (rules.shrinkBeforeGrow ? MOVE_TICKS : 0);
    return {
      first: tickFirst(state, rules),
      loan: tickLoan(state.loan, rules),
      settledTicks: incrementAge(state.settledTicks, MOVE_TICKS),
      secondLevel: open
        ? Math.min(BURST, state.secondLevel + 1)
        : state.secondLevel,
      allowance: Math.min(BURST, state.allowance + 1),
    };
  },
  // The witnesses answer at once: a later answer could only be newer.
  requestVouch: state => {
    const answer = state.settledTicks >= 0 ? 'next' : 'first';
    return {...state, first: {...state.first, requestAge: 0, answer}};
  },
  takeVouch: (state, rules) => {
    const {requestAge, answer} = state.first;
    if (answer === 'none') return state;
    const first = {...state.first, requestAge: -1, answer: 'none' as const};
    if (answer === 'next') {
      return {...state, first: {...START.first, knowsNext: true, level: 0}};
    }
    const vouchAge = rules.vouchFromSend ? requestAge : 0;
    return {...state, first: {...first, vouchAge}};
  },
  spendOwn: (state, rules) => {
    if (!mayGrant(state, rules)) return state;
    const first = {...state.first, level: state.first.level - 1};
    return spend({...state, first});
  },
  requestLoan: state => {
    const {requestAge, grantAge, held} = state.loan;
    const busy = grantAge >= 0 || (requestAge >= 0 && requestAge < LOAN_TICKS);
    if (busy || held > 0) return state;
    return {...state, loan: {...NO_LOAN, requestAge: 0}};
  },
  grantLoan: (state, rules) => {
    const {loan, first} = state;
    const asked = loan.requestAge >= 0 && loan.grantAge < 0;
    if (!asked || loan.reply !== 'none' || !mayGrant(state, rules)) {
      return state;
    }
    const granted = first.level;
    const level = rules.deductBeforeSend ? 0 : granted;
    return {
      ...state,
      first: {...first, level},
      loan: {...loan, grantAge: 0, reply: 'under way', granted, open: granted},
    };
  },
  takeReply: (state, rules) => {
    const {loan} = state;
    const doubled = loan.reply === 'taken' && !rules.takeOnce;
    if (loan.reply !== 'under way' && !doubled) return state;
    const held = Math.min(BURST, loan.held + loan.granted);
    return {...state, loan: {...loan, reply: 'taken', held}};
  },
  spendLoan: (state, rules) => {
    const {loan} = state;
    const valid = loan.requestAge < LOAN_TICKS || !rules.expireLoans;
    if (loan.held === 0 || !valid) return state;
    return spend({...state, loan: {...loan, held: loan.held - 1}});
  },
  settleSpent: (state, rules) => {
    const {loan, first} = state;
    if (loan.reply !== 'taken' || loan.grantAge < 0) return state;
    const spent = Math.max(0, loan.open - loan.held);
    const level = first.level - (rules.deductBeforeSend ? 0 : spent);
    return {
      ...state,
      first: {...first, level: Math.max(0, level)},
      loan: {...loan, open: loan.open - spent},
    };
  },
  settleReturned: (state, rules) => {
    const {loan, first} = state;
    if (loan.reply !== 'taken' || loan.grantAge < 0) return state;
    if (loan.held === 0 || loan.held !== loan.open) return state;
    const back = rules.deductBeforeSend ? loan.held : 0;
    const level = Math.min(BURST, first.level + back);
    const returned = {...loan, held: 0, open: 0};
    return {...state, first: {...first, level}, loan: returned};
  },
  restart: (state, rules) => ({
    ...state,
    first: {
      ...START.first,
      level: rules.emptyAfterRestart ? 0 : BURST,
      closedTicks: rules.closedAfterRestart ? LOAN_TICKS : 0,
      knowsNext: false,
    },
    loan: {...state.loan, grantAge: -1, open: 0},
  }),
  settleNext: state =>
    state.settledTicks >= 0 ? state : {...state, settledTicks: 0},
  spendSecond: state =>
    state.secondLevel === 0
      ? state
      : spend({...state, secondLevel: state.secondLevel - 1}),
} as const satisfies Readonly<Record<string, Step>>;

/** The specification with the given rules. */
export function escrow(
  rules: EscrowRules,
): Specification<EscrowState, EscrowEvent> {
  const types = Object.keys(HANDLERS) as (keyof typeof HANDLERS)[];
  return {
    name: 'escrow',
    start: START,
    events: types.map(type => ({type})),
    step: (state, event) => {
      if (state.allowance < 0) return state;
      const step: Step = HANDLERS[event.type];
      return step(state, rules);
    },
    violation: state =>
      state.allowance < 0 ? 'more than the burst and rate' : undefined,
  };
}
