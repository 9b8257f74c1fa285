/**
 * Specification of the evacuation of a failure domain. The store keeps whether
 * it is evacuated. A router and the gate of the domain follow the store by a read
 * and then a watch, either of which may be lost, and both may restart. Once both
 * know of an evacuation, no request is sent to the instance, whether its slot was
 * reserved before or not; once both know that it was reverted, one may be.
 */
import type {Specification} from './explore.js';

type Knowledge = 'unknown' | 'in-service' | 'evacuated';

/** A daemon that follows the store. */
interface Follower {
  readonly knows: Knowledge;
  /** Whether a watch is open, which reports every change. */
  readonly isWatching: boolean;
  /** The value that the watch is about to report; null: none. */
  readonly reported: boolean | null;
}

type Name = 'router' | 'gate';
const NAMES: readonly Name[] = ['router', 'gate'];

/** A state of the specification. */
export interface EvacuationState {
  readonly isEvacuated: boolean;
  readonly router: Follower;
  readonly gate: Follower;
  readonly hasReservation: boolean;
  readonly fault: string | null;
}

/** An event of the specification. */
export type EvacuationEvent =
  | {readonly type: 'evacuate' | 'revert' | 'reserve' | 'use'}
  | {
      readonly type: 'read' | 'report' | 'lose' | 'restart';
      readonly who: Name;
    };

/** Rules of the specification; a mutant leaves one of them out. */
export const EVACUATION_RULES = [
  /** Nothing is forwarded or admitted before the range was read. */
  'readFirst',
  /** The gate checks a reservation again when it is used. */
  'checkUse',
  /** A read replaces what was known, also by the absence of a key. */
  'replaceByRead',
  /** A lost watch is followed by a read. */
  'readAfterLoss',
] as const;
type EvacuationRules = Readonly<
  Record<(typeof EVACUATION_RULES)[number], boolean>
>;

const STARTED: Follower = {
  knows: 'unknown',
  isWatching: false,
  reported: null,
};

const START: EvacuationState = {
  isEvacuated: false,
  router: STARTED,
  gate: STARTED,
  hasReservation: false,
  fault: null,
};

const EVENTS: readonly EvacuationEvent[] = [
  {type: 'evacuate'},
  {type: 'revert'},
  {type: 'reserve'},
  {type: 'use'},
  ...NAMES.flatMap(who => [
    {type: 'read' as const, who},
    {type: 'report' as const, who},
    {type: 'lose' as const, who},
    {type: 'restart' as const, who},
  ]),
];

function knowledgeOf(isEvacuated: boolean): Knowledge {
  return isEvacuated ? 'evacuated' : 'in-service';
}

/** The store changes; every open watch will report it. */
function change(state: EvacuationState, isEvacuated: boolean): EvacuationState {
  if (state.isEvacuated === isEvacuated) return state;
  const report = (follower: Follower): Follower =>
    follower.isWatching ? {...follower, reported: isEvacuated} : follower;
  const {router, gate} = state;
  return {...state, isEvacuated, router: report(router), gate: report(gate)};
}

/** A daemon without a watch reads the range and opens one. */
function read(
  state: EvacuationState,
  who: Name,
  rules: EvacuationRules,
): EvacuationState {
  const {knows, isWatching} = state[who];
  if (isWatching) return state;
  const isLeftIn = !rules.replaceByRead && knows === 'evacuated';
  const found = isLeftIn ? knows : knowledgeOf(state.isEvacuated);
  return {...state, [who]: {knows: found, isWatching: true, reported: null}};
}

function report(state: EvacuationState, who: Name): EvacuationState {
  const {reported} = state[who];
  if (reported === null) return state;
  const knows = knowledgeOf(reported);
  return {...state, [who]: {...state[who], knows, reported: null}};
}

/** The watch ends, and what it would have reported is lost. */
function lose(
  state: EvacuationState,
  who: Name,
  rules: EvacuationRules,
): EvacuationState {
  if (!state[who].isWatching) return state;
  // A watch from the latest revision reports later changes only.
  const isWatching = !rules.readAfterLoss;
  return {...state, [who]: {...state[who], isWatching, reported: null}};
}

/** A daemon forgets all; the reservation is lost with either. */
function restart(
  state: EvacuationState,
  who: Name,
  rules: EvacuationRules,
): EvacuationState {
  const knows = rules.readFirst ? 'unknown' : 'in-service';
  return {...state, [who]: {...STARTED, knows}, hasReservation: false};
}

function reserve(state: EvacuationState): EvacuationState {
  const isAllowed = NAMES.every(who => state[who].knows === 'in-service');
  return isAllowed ? {...state, hasReservation: true} : state;
}

/** Whether the gate knows of an evacuation that is in force. */
function hasBeenTold({isEvacuated, gate}: EvacuationState): boolean {
  return gate.isWatching && gate.reported === null && isEvacuated;
}

/** The reserved request is sent to the instance, unless the gate declines. */
function use(state: EvacuationState, rules: EvacuationRules): EvacuationState {
  if (!state.hasReservation) return state;
  const used = {...state, hasReservation: false};
  if (rules.checkUse && state.gate.knows !== 'in-service') return used;
  if (hasBeenTold(state))
    return {...used, fault: 'sent to an evacuated domain'};
  // A gate that has read nothing since its start can't tell.
  const hasRead = state.gate.isWatching || rules.readFirst;
  return hasRead ? used : {...used, fault: 'sent before the range was read'};
}

function violationOf(state: EvacuationState): string | undefined {
  if (state.fault !== null) return state.fault;
  const isStuck = NAMES.some(who => {
    const {knows, isWatching, reported} = state[who];
    const isSettled = isWatching && reported === null;
    return isSettled && knows !== knowledgeOf(state.isEvacuated);
  });
  return isStuck ? 'a settled daemon disagrees with the store' : undefined;
}

/** The specification with the given rules. */
export function evacuation(
  rules: EvacuationRules,
): Specification<EvacuationState, EvacuationEvent> {
  return {
    name: 'evacuation',
    start: START,
    events: EVENTS,
    step: (state, event) => {
      const handlers = {
        evacuate: () => change(state, true),
        revert: () => change(state, false),
        reserve: () => reserve(state),
        use: () => use(state, rules),
        read: (who: Name) => read(state, who, rules),
        report: (who: Name) => report(state, who),
        lose: (who: Name) => lose(state, who, rules),
        restart: (who: Name) => restart(state, who, rules),
      };
      return handlers[event.type]('who' in event ? event.who : 'gate');
    },
    violation: violationOf,
  };
}
