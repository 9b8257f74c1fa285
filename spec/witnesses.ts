/**
 * Specification of vouches: three witnesses, a daemon that collects vouches
 * for the first generation, and a next generation that is written to the
 * store and then sent to the witnesses. Witnesses may restart and lose their
 * state at any moment, also all at once. The store may be unavailable at any
 * moment; this is modelled by states in which no witness reads it.
 *
 * A state is unsafe if the next generation settled a vouch lifetime ago and the
 * daemon still has a valid vouch for the first.
 */
import type {Specification} from './explore.js';

const MAJORITY = 2;
const VOUCH_TICKS = 2;
const WITNESSES = [0, 1, 2] as const;

interface Witness {
  readonly knowsNext: boolean;
  readonly recovered: boolean;
  /** Started in this tick, so it may not yet recover from the others. */
  readonly justStarted: boolean;
  /** Recorded the next generation in a call that is still in progress. */
  readonly acked: boolean;
  /** Ticks since the daemon's last request that this witness vouched for. */
  readonly vouchAge: number;
}

/** A state of the specification. */
export interface WitnessState {
  readonly witnesses: readonly Witness[];
  readonly written: boolean;
  /** Ticks since the next generation settled; -1 if it has not. */
  readonly settledFor: number;
}

/** An event of the specification. */
export interface WitnessEvent {
  readonly type: keyof typeof HANDLERS;
  readonly witness: number;
}

/** The safety rules; a mutant omits one of them. */
export interface WitnessRules {
  /** A restarted witness does not vouch until it has recovered. */
  readonly recoverFirst: boolean;
  /** Reads from the store are never stale. */
  readonly freshRead: boolean;
  /** A witness recovers from a majority of witnesses instead of just one. */
  readonly recoverFromMajority: boolean;
  /** Only witnesses that have recovered themselves count for that majority. */
  readonly askRecovered: boolean;
  /** Recovery waits until calls answered before the restart have ended. */
  readonly waitForOpenCalls: boolean;
  /** A vouch requires replies of a majority. */
  readonly vouchByMajority: boolean;
}

/** The names of all rules. */
export const WITNESS_RULES: readonly (keyof WitnessRules)[] = [
  'recoverFirst',
  'freshRead',
  'recoverFromMajority',
  'askRecovered',
  'waitForOpenCalls',
  'vouchByMajority',
];

const WITNESS: Witness = {
  knowsNext: false,
  recovered: true,
  justStarted: false,
  acked: false,
  vouchAge: VOUCH_TICKS,
};

const START: WitnessState = {
  witnesses: [WITNESS, WITNESS, WITNESS],
  written: false,
  settledFor: -1,
};

/** Merges states that differ only in witness order or in ended calls. */
function canonical(state: WitnessState): WitnessState {
  const settled = state.settledFor >= 0;
  const sorted = state.witnesses
    .map(witness => ({
      ...witness,
      acked: witness.acked && !settled,
      justStarted: witness.justStarted && !witness.recovered,
    }))
    .map(witness => ({witness, text: JSON.stringify(witness)}))
    .toSorted((a, b) => (a.text < b.text ? -1 : 1))
    .map(({witness}) => witness);
  return {...state, witnesses: sorted};
}

type Step = (
  state: WitnessState,
  index: number,
  rules: WitnessRules,
) => WitnessState;

function change(
  state: WitnessState,
  index: number,
  changes: Partial<Witness>,
): WitnessState {
  const {witnesses} = state;
  const changed = {...(witnesses[index] ?? WITNESS), ...changes};
  return {...state, witnesses: witnesses.with(index, changed)};
}

function recoverFromOthers(
  state: WitnessState,
  index: number,
  rules: WitnessRules,
): WitnessState {
  const self = state.witnesses[index];
  if (!self || self.recovered) return state;
  if (self.justStarted && rules.waitForOpenCalls) return state;
  const others = state.witnesses
    .filter((_, other) => other !== index)
    .filter(other => other.recovered || !rules.askRecovered);
  const asked = rules.recoverFromMajority ? others : others.slice(-1);
  if (asked.length < (rules.recoverFromMajority ? MAJORITY : 1)) return state;
  const learned = asked.some(other => other.knowsNext);
  const knowsNext = self.knowsNext || learned;
  return change(state, index, {recovered: true, knowsNext});
}

const HANDLERS = {
  tick: state => ({
    ...state,
    witnesses: state.witnesses.map(witness => ({
      ...witness,
      justStarted: false,
      acked: false,
      vouchAge: Math.min(VOUCH_TICKS, witness.vouchAge + 1),
    })),
    settledFor:
      state.settledFor < 0 ? -1 : Math.min(VOUCH_TICKS, state.settledFor + 1),
  }),
  write: state => ({...state, written: true}),
  raise: (state, index) =>
    state.written
      ? change(state, index, {knowsNext: true, acked: true})
      : state,
  settle: state => {
    const acked = state.witnesses.filter(witness => witness.acked).length;
    if (acked < MAJORITY || state.settledFor >= 0) return state;
    return {...state, settledFor: 0};
  },
  vouch: (state, index) => {
    const witness = state.witnesses[index];
    if (!witness?.recovered || witness.knowsNext) return state;
    return change(state, index, {vouchAge: 0});
  },
  restart: (state, index, rules) =>
    change(state, index, {
      knowsNext: false,
      recovered: !rules.recoverFirst,
      justStarted: true,
    }),
  readStore: (state, index, rules) => {
    const witness = state.witnesses[index];
    if (!witness || witness.recovered) return state;
    const read = rules.freshRead && state.written;
    const knowsNext = witness.knowsNext || read;
    return change(state, index, {recovered: true, knowsNext});
  },
  recoverFromOthers,
} as const satisfies Readonly<Record<string, Step>>;

/** The specification with the given rules. */
export function witnesses(
  rules: WitnessRules,
): Specification<WitnessState, WitnessEvent> {
  const types = Object.keys(HANDLERS) as (keyof typeof HANDLERS)[];
  return {
    name: 'witnesses',
    start: START,
    events: types.flatMap(type => WITNESSES.map(witness => ({type, witness}))),
    step: (state, event) => {
      const step: Step = HANDLERS[event.type];
      return canonical(step(state, event.witness, rules));
    },
    violation: state => {
      const valid = state.witnesses.filter(w => w.vouchAge < VOUCH_TICKS);
      const needed = rules.vouchByMajority ? MAJORITY : 1;
      const vouched = valid.length >= needed;
      const settled = state.settledFor >= VOUCH_TICKS;
      return settled && vouched
        ? 'an old generation is vouched for'
        : undefined;
    },
  };
}
