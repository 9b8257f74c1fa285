/**
 * Specification of the order of configuration revisions. Operators write the
 * head of the store by compare-and-swap, answers get lost, and daemons copy
 * from the store or from each other at any time. The revision in force on a
 * daemon never decreases, and a change is reported to its operator as accepted
 * only if it is in the store.
 */
import type {Specification} from './explore.js';

const MAX_REVISION = 4;
const DAEMONS = [0, 1] as const;
const OPERATORS = [0, 1] as const;

interface Operator {
  /** Revision that it read, or -1 if it has read none. */
  readonly read: number;
  /** Outcome of its change, as known to the operator. */
  readonly outcome: 'nothing' | 'accepted' | 'lost-race' | 'unknown';
}

/** A state of the specification. */
export interface OrderState {
  /** Operator that wrote each revision; the index is the revision minus 1. */
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
  /** A daemon ignores revisions that are not newer than the one in force. */
  readonly onlyForward: boolean;
  /** A write succeeds only if the version that was read is still current. */
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
  // Without the comparison a write overwrites any revision written since.
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
