/**
 * Specification of the order of configuration: operators swap the head of the
 * store, answers get lost, daemons copy from the store or from each other at
 * any moment. The revision that a daemon has in force never falls, and an
 * operator is told that its change was accepted only if it is in the store.
 */
import type {Specification} from './explore.js';

const MAX_REVISION = 4;
const DAEMONS = [0, 1] as const;
const OPERATORS = [0, 1] as const;

interface Operator {
  /** Revision that it read, or -1. */
  readonly read: number;
  /** What it believes of its own change. */
  readonly outcome: 'nothing' | 'accepted' | 'lost-race' | 'unknown';
}

/** A state of the specification. */
export interface OrderState {
  /** Who wrote each revision; the index is the revision minus one. */
  readonly writers: readonly number[];
  readonly daemons: readonly number[];
  /** Highest revision that each daemon ever had in force. */
  readonly highest: readonly number[];
  readonly operators: readonly Operator[];
}

/** An event of the specification. */
export type OrderEvent =
  | {readonly type: 'read'; readonly operator: number}
  | {
      readonly type: 'swap';
      readonly operator: number;
      readonly answerLost: boolean;
    }
  | {readonly type: 'readBack'; readonly operator: number}
  | {readonly type: 'load'; readonly daemon: number; readonly revision: number}
  | {readonly type: 'copy'; readonly daemon: number; readonly from: number};

/** Rules that a mutant leaves out. */
export interface OrderRules {
  /** A daemon drops revisions below the one in force. */
  readonly onlyForward: boolean;
  /** A write compares the version that was read. */
  readonly compare: boolean;
}

const START: OrderState = {
  writers: [],
  daemons: [0, 0],
  highest: [0, 0],
  operators: [
    {read: -1, outcome: 'nothing'},
    {read: -1, outcome: 'nothing'},
  ],
};

const EVENTS: readonly OrderEvent[] = [
  ...OPERATORS.flatMap(operator => [
    {type: 'read' as const, operator},
    {type: 'swap' as const, operator, answerLost: false},
    {type: 'swap' as const, operator, answerLost: true},
    {type: 'readBack' as const, operator},
  ]),
  ...DAEMONS.flatMap(daemon => [
    ...Array.from({length: MAX_REVISION + 1}, (_, revision) => ({
      type: 'load' as const,
      daemon,
      revision,
    })),
    {type: 'copy' as const, daemon, from: 1 - daemon},
  ]),
];

function withOperator(
  state: OrderState,
  index: number,
  operator: Operator,
): OrderState {
  return {...state, operators: state.operators.with(index, operator)};
}

function inForce(
  state: OrderState,
  daemon: number,
  revision: number,
  rules: OrderRules,
): OrderState {
  const last = state.daemons[daemon] ?? 0;
  if (rules.onlyForward && revision <= last) return state;
  const highest = Math.max(state.highest[daemon] ?? 0, revision);
  return {
    ...state,
    daemons: state.daemons.with(daemon, revision),
    highest: state.highest.with(daemon, highest),
  };
}

function swap(
  state: OrderState,
  index: number,
  answerLost: boolean,
  rules: OrderRules,
): OrderState {
  const operator = state.operators[index];
  if (!operator || operator.read < 0 || operator.outcome !== 'nothing')
    return state;
  if (state.writers.length >= MAX_REVISION) return state;
  if (rules.compare && operator.read !== state.writers.length) {
    const told = answerLost ? 'unknown' : 'lost-race';
    return withOperator(state, index, {...operator, outcome: told});
  }
  // Without the comparison a write replaces what was read, whoever wrote since.
  const writers = [...state.writers.slice(0, operator.read), index];
  const told = answerLost ? 'unknown' : 'accepted';
  return withOperator({...state, writers}, index, {...operator, outcome: told});
}

function readBack(state: OrderState, index: number): OrderState {
  const operator = state.operators[index];
  if (operator?.outcome !== 'unknown') return state;
  const written = state.writers[operator.read] === index;
  const told = written ? 'accepted' : 'lost-race';
  return withOperator(state, index, {...operator, outcome: told});
}

function read(state: OrderState, index: number): OrderState {
  const operator = state.operators[index];
  if (operator?.outcome !== 'nothing') return state;
  return withOperator(state, index, {
    ...operator,
    read: state.writers.length,
  });
}

/** The specification with the given rules. */
export function configurationOrder(
  rules: OrderRules,
): Specification<OrderState, OrderEvent> {
  const handlers = {
    read: (s: OrderState, e: OrderEvent & {type: 'read'}) =>
      read(s, e.operator),
    swap: (s: OrderState, e: OrderEvent & {type: 'swap'}) =>
      swap(s, e.operator, e.answerLost, rules),
    readBack: (s: OrderState, e: OrderEvent & {type: 'readBack'}) =>
      readBack(s, e.operator),
    load: (s: OrderState, e: OrderEvent & {type: 'load'}) =>
      e.revision > s.writers.length
        ? s
        : inForce(s, e.daemon, e.revision, rules),
    copy: (s: OrderState, e: OrderEvent & {type: 'copy'}) =>
      inForce(s, e.daemon, s.daemons[e.from] ?? 0, rules),
  };
  return {
    name: 'configuration order',
    start: START,
    events: EVENTS,
    step: (state, event) => handlers[event.type](state, event as never),
    violation: state => {
      const fell = state.daemons.some(
        (revision, daemon) => revision < (state.highest[daemon] ?? 0),
      );
      if (fell) return 'a revision fell';
      const claimed = state.operators.some(
        (operator, index) =>
          operator.outcome === 'accepted' &&
          state.writers[operator.read] !== index,
      );
      return claimed ? 'an accepted change is not there' : undefined;
    },
  };
}
