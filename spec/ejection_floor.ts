/**
 * Specification of the rule that ejection never takes a service below its
 * floor. The gate of each instance requests permits to eject it from one
 * authority. Messages take any time, and authorities restart. A new generation
 * (numbered member list) moves the authority from the first daemon to the
 * second while the first may still hold a vouch (confirmation by witnesses)
 * for the old one. With two instances and a floor of one, both must never be
 * ejected at once. Reports are assumed to be as outdated as possible: an
 * authority considers an instance healthy unless it permitted its ejection.
 */
import type {Specification} from './explore.js';

/** Lifetimes in ticks. */
const PERMIT_TICKS = 2;
const VOUCH_TICKS = 1;
const FLOOR = 1;
const INSTANCES = [0, 1] as const;
const AUTHORITIES = [0, 1] as const;

/** The request of one gate, or the reply to it, in transit. */
interface Message {
  readonly kind: 'request' | 'permit';
  readonly authority: number;
  /** Ticks since the request was sent. */
  readonly age: number;
}

interface Gate {
  readonly message: Message | null;
  /** Ticks until the ejection of the instance ends. */
  readonly ejectedLeft: number;
}

interface Authority {
  /** Ticks until each permit is certainly void, by instance. */
  readonly permits: readonly number[];
  readonly vouchLeft: number;
  /** Ticks until it may give permits. */
  readonly closedLeft: number;
}

/** A state of the specification. */
export interface FloorState {
  readonly gates: readonly Gate[];
  readonly authorities: readonly Authority[];
  /** True once the second generation is in use. */
  readonly isSecond: boolean;
}

/** An event of the specification. */
export type FloorEvent =
  | {readonly type: 'tick'}
  | {
      readonly type: 'request';
      readonly gate: number;
      readonly authority: number;
    }
  | {readonly type: 'answer'; readonly gate: number}
  | {readonly type: 'deliver'; readonly gate: number}
  | {readonly type: 'drop'; readonly gate: number}
  | {readonly type: 'vouch'; readonly authority: number}
  | {readonly type: 'restart'; readonly authority: number}
  | {readonly type: 'nextGeneration'};

/** Rules that a mutant leaves out. */
export interface FloorRules {
  /** An instance is ejected only with a permit. */
  readonly permitNeeded: boolean;
  /** The gate counts a permit's lifetime from when it sent the request. */
  readonly countFromAsk: boolean;
  /** Permits that may still be in use count against the floor. */
  readonly countPermits: boolean;
  /** An authority needs a valid vouch for its generation. */
  readonly vouchNeeded: boolean;
  /** A new authority waits until the previous one's permits are void. */
  readonly waitAfterMove: boolean;
  /** A restarted authority waits until its own old permits are void. */
  readonly waitAfterStart: boolean;
}

const NO_PERMITS = INSTANCES.map(() => 0);

const START: FloorState = {
  gates: INSTANCES.map(() => ({message: null, ejectedLeft: 0})),
  authorities: AUTHORITIES.map(() => ({
    permits: NO_PERMITS,
    vouchLeft: 0,
    closedLeft: 0,
  })),
  isSecond: false,
};

const EVENTS: readonly FloorEvent[] = [
  {type: 'tick'},
  {type: 'nextGeneration'},
  ...INSTANCES.flatMap(gate => [
    ...AUTHORITIES.map(authority => ({
      type: 'request' as const,
      gate,
      authority,
    })),
    {type: 'answer' as const, gate},
    {type: 'deliver' as const, gate},
    {type: 'drop' as const, gate},
  ]),
  ...AUTHORITIES.flatMap(authority => [
    {type: 'vouch' as const, authority},
    {type: 'restart' as const, authority},
  ]),
];

const decrement = (ticks: number) => Math.max(0, ticks - 1);

function withGate(state: FloorState, index: number, gate: Gate): FloorState {
  return {...state, gates: state.gates.with(index, gate)};
}

function withAuthority(
  state: FloorState,
  index: number,
  change: Partial<Authority>,
): FloorState {
  const last = state.authorities[index];
  if (!last) return state;
  const authorities = state.authorities.with(index, {...last, ...change});
  return {...state, authorities};
}

function ageMessage(message: Message | null): Message | null {
  if (!message || message.age + 1 >= PERMIT_TICKS) return null;
  return {...message, age: message.age + 1};
}

/** Without the rule `countFromAsk`, replies of any age are accepted. */
function ageMessageByRules(message: Message | null, rules: FloorRules) {
  if (rules.countFromAsk || !message) return ageMessage(message);
  return {...message, age: Math.min(PERMIT_TICKS, message.age + 1)};
}

function tick(state: FloorState, rules: FloorRules): FloorState {
  return {
    ...state,
    gates: state.gates.map(gate => ({
      message: ageMessageByRules(gate.message, rules),
      ejectedLeft: decrement(gate.ejectedLeft),
    })),
    authorities: state.authorities.map(authority => ({
      permits: authority.permits.map(decrement),
      vouchLeft: decrement(authority.vouchLeft),
      closedLeft: decrement(authority.closedLeft),
    })),
  };
}

function request(
  state: FloorState,
  index: number,
  authority: number,
): FloorState {
  const gate = state.gates[index];
  if (!gate || gate.message) return state;
  const message: Message = {kind: 'request', authority, age: 0};
  return withGate(state, index, {...gate, message});
}

function answer(
  state: FloorState,
  index: number,
  rules: FloorRules,
): FloorState {
  const gate = state.gates[index];
  if (gate?.message?.kind !== 'request') return state;
  const number = gate.message.authority;
  const authority = state.authorities[number];
  if (!authority || authority.closedLeft > 0) return state;
  const isVouched = authority.vouchLeft > 0 || !rules.vouchNeeded;
  const hasDuty = number === 0 || state.isSecond;
  const remaining = INSTANCES.filter(other => {
    const isPermitted = (authority.permits[other] ?? 0) > 0;
    return other !== index && !(isPermitted && rules.countPermits);
  });
  if (!isVouched || !hasDuty || remaining.length < FLOOR) return state;
  const permits = authority.permits.with(index, PERMIT_TICKS);
  const message: Message = {...gate.message, kind: 'permit'};
  const replied = withGate(state, index, {...gate, message});
  return withAuthority(replied, number, {permits});
}

function deliver(
  state: FloorState,
  index: number,
  rules: FloorRules,
): FloorState {
  const gate = state.gates[index];
  if (!gate) return state;
  if (!rules.permitNeeded) {
    return withGate(state, index, {...gate, ejectedLeft: PERMIT_TICKS});
  }
  if (gate.message?.kind !== 'permit') return state;
  const age = rules.countFromAsk ? gate.message.age : 0;
  const ejectedLeft = Math.max(gate.ejectedLeft, PERMIT_TICKS - age);
  return withGate(state, index, {message: null, ejectedLeft});
}

function drop(state: FloorState, index: number): FloorState {
  const gate = state.gates[index];
  if (!gate?.message) return state;
  return withGate(state, index, {...gate, message: null});
}

/** Witnesses vouch for the newest generation only. */
function vouch(state: FloorState, authority: number): FloorState {
  const isCurrent = (authority === 1) === state.isSecond;
  if (!isCurrent) return state;
  return withAuthority(state, authority, {vouchLeft: VOUCH_TICKS});
}

function restart(
  state: FloorState,
  index: number,
  rules: FloorRules,
): FloorState {
  const currentClosedLeft = state.authorities[index]?.closedLeft ?? 0;
  const closedLeft = rules.waitAfterStart
    ? Math.max(currentClosedLeft, PERMIT_TICKS)
    : currentClosedLeft;
  return withAuthority(state, index, {
    permits: NO_PERMITS,
    vouchLeft: 0,
    closedLeft,
  });
}

function nextGeneration(state: FloorState, rules: FloorRules): FloorState {
  if (state.isSecond) return state;
  const closedLeft = rules.waitAfterMove ? VOUCH_TICKS + PERMIT_TICKS : 0;
  return withAuthority({...state, isSecond: true}, 1, {closedLeft});
}

/** The specification with the given rules. */
export function ejectionFloor(
  rules: FloorRules,
): Specification<FloorState, FloorEvent> {
  type Of<Type extends FloorEvent['type']> = FloorEvent & {type: Type};
  const handlers = {
    tick: (s: FloorState) => tick(s, rules),
    request: (s: FloorState, e: Of<'request'>) =>
      request(s, e.gate, e.authority),
    answer: (s: FloorState, e: Of<'answer'>) => answer(s, e.gate, rules),
    deliver: (s: FloorState, e: Of<'deliver'>) => deliver(s, e.gate, rules),
    drop: (s: FloorState, e: Of<'drop'>) => drop(s, e.gate),
    vouch: (s: FloorState, e: Of<'vouch'>) => vouch(s, e.authority),
    restart: (s: FloorState, e: Of<'restart'>) =>
      restart(s, e.authority, rules),
    nextGeneration: (s: FloorState) => nextGeneration(s, rules),
  };
  return {
    name: 'ejection floor',
    start: START,
    events: EVENTS,
    step: (state, event) => {
      const handle = handlers[event.type] as (
        state: FloorState,
        event: FloorEvent,
      ) => FloorState;
      return handle(state, event);
    },
    violation: ({gates}) => {
      const inService = gates.filter(gate => gate.ejectedLeft === 0).length;
      return inService < FLOOR
        ? 'fewer instances are in service than the floor requires'
        : undefined;
    },
  };
}
