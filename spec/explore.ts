/**
 * Exhaustive exploration of a small specification by `@xstate/graph`: visits
 * every reachable state and checks an invariant in each.
 */
import {getAdjacencyMap} from '@xstate/graph';
import {fromTransition} from 'xstate';

/** A specification: a start state, the events, and one step. */
export interface Specification<State, Event extends {readonly type: string}> {
  readonly name: string;
  readonly start: State;
  readonly events: readonly Event[];
  /** The next state; the same state if the event isn't possible in it. */
  readonly step: (state: State, event: Event) => State;
  /** What is wrong with a state, or undefined if it is safe. */
  readonly violation: (state: State) => string | undefined;
}

/** What an exploration found. */
export interface Exploration {
  readonly states: number;
  /** The first unsafe state, as text, and what is wrong with it. */
  readonly counterexample: string | undefined;
}

interface Visited<State> {
  readonly state: {readonly context: State};
}

const STATE_LIMIT = 2_000_000;

/** Visits every reachable state of a specification. */
export function explore<State, Event extends {readonly type: string}>(
  spec: Specification<State, Event>,
): Exploration {
  const logic = fromTransition<State, Event, never, undefined>(
    (state, event) => spec.step(state, event),
    spec.start,
  );
  let isUnsafe = false;
  const options = {
    // The library queues every event, so that impossible ones cost time.
    events: (snapshot: {context: State}) =>
      spec.events.filter(
        event => spec.step(snapshot.context, event) !== snapshot.context,
      ),
    limit: STATE_LIMIT,
    // One unsafe state is enough; what follows it is of no interest.
    stopWhen: (snapshot: {context: State}) => {
      isUnsafe ||= spec.violation(snapshot.context) !== undefined;
      return isUnsafe;
    },
    serializeState: (snapshot: {context: State}) =>
      JSON.stringify(snapshot.context),
  };
  const adjacency = getAdjacencyMap(
    logic as never,
    options as never,
  ) as unknown as Readonly<Record<string, Visited<State>>>;
  const states = Object.values(adjacency).map(entry => entry.state.context);
  const unsafe = states.find(state => spec.violation(state) !== undefined);
  return {
    states: states.length,
    counterexample:
      unsafe === undefined
        ? undefined
        : `${spec.violation(unsafe)}: ${JSON.stringify(unsafe)}`,
  };
}

/** All rules of a specification, but for the one that a mutant leaves out. */
export function rulesWithout<Rule extends string>(
  rules: readonly Rule[],
  leftOut: string | undefined,
): Readonly<Record<Rule, boolean>> {
  const kept = rules.map(rule => [rule, rule !== leftOut]);
  return Object.fromEntries(kept) as Record<Rule, boolean>;
}
