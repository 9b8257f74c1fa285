/**
 * Specification of which revisions come into force. Daemons load any accepted
 * revision from a lagging store or a stale peer, lose all state when they
 * restart, and learn the newest revision that a majority of the witnesses
 * knows. The revision in force on a daemon never decreases, even when the
 * daemon restarts.
 */
import type {Specification} from './explore.js';

const MAX_REVISION = 3;
const DAEMONS = [0, 1] as const;
const NOTHING = 0;

interface DaemonState {
  readonly loaded: number;
  readonly inForce: number;
  /** Highest revision that was ever in force here. */
  readonly highest: number;
  /** Newest vouched revision that it learned; `floor` is the first one. */
  readonly vouched: number;
  readonly floor: number | undefined;
}

/** A state of the specification. */
export interface ForceState {
  /** Newest revision in the store. */
  readonly accepted: number;
  /** Newest revision that a majority of the witnesses knows. */
  readonly witnessed: number;
  readonly daemons: readonly DaemonState[];
}

/** An event of the specification. */
export type ForceEvent =
  | {readonly type: 'accept'}
  | {readonly type: 'load'; readonly daemon: number; readonly revision: number}
  | {readonly type: 'raise'; readonly daemon: number}
  | {readonly type: 'learn'; readonly daemon: number}
  | {readonly type: 'enforce'; readonly daemon: number}
  | {readonly type: 'restart'; readonly daemon: number};

/** Rules that a mutant leaves out. */
export interface ForceRules {
  /** Only vouched revisions come into force. */
  readonly vouchedOnly: boolean;
  /** Only revisions from the first one vouched for after a start on. */
  readonly floor: boolean;
}

const STARTED: Omit<DaemonState, 'highest'> = {
  loaded: NOTHING,
  inForce: NOTHING,
  vouched: NOTHING,
  floor: undefined,
};

const START: ForceState = {
  accepted: 0,
  witnessed: 0,
  daemons: DAEMONS.map(() => ({...STARTED, highest: NOTHING})),
};

const EVENTS: readonly ForceEvent[] = [
  {type: 'accept'},
  ...DAEMONS.flatMap(daemon => [
    ...Array.from({length: MAX_REVISION}, (_, index) => ({
      type: 'load' as const,
      daemon,
      revision: index + 1,
    })),
    {type: 'raise' as const, daemon},
    {type: 'learn' as const, daemon},
    {type: 'enforce' as const, daemon},
    {type: 'restart' as const, daemon},
  ]),
];

function updateDaemon(
  state: ForceState,
  index: number,
  edit: (daemon: DaemonState) => DaemonState,
): ForceState {
  const daemon = state.daemons[index];
  if (!daemon) return state;
  const next = edit(daemon);
  if (next === daemon) return state;
  return {...state, daemons: state.daemons.with(index, next)};
}

function enforce(daemon: DaemonState, rules: ForceRules): DaemonState {
  const {loaded, inForce, vouched, floor, highest} = daemon;
  if (loaded <= inForce) return daemon;
  if (rules.vouchedOnly && loaded > vouched) return daemon;
  const isAboveFloor = floor !== undefined && loaded >= floor;
  if (rules.floor && !isAboveFloor) return daemon;
  return {...daemon, inForce: loaded, highest: Math.max(highest, loaded)};
}

/** The specification with the given rules. */
export function configurationForce(
  rules: ForceRules,
): Specification<ForceState, ForceEvent> {
  const handlers = {
    accept: (s: ForceState) =>
      s.accepted < MAX_REVISION ? {...s, accepted: s.accepted + 1} : s,
    load: (s: ForceState, e: ForceEvent & {type: 'load'}) =>
      updateDaemon(s, e.daemon, daemon =>
        e.revision > daemon.loaded && e.revision <= s.accepted
          ? {...daemon, loaded: e.revision}
          : daemon,
      ),
    raise: (s: ForceState, e: ForceEvent & {type: 'raise'}) => {
      const loaded = s.daemons[e.daemon]?.loaded ?? 0;
      return loaded > s.witnessed ? {...s, witnessed: loaded} : s;
    },
    learn: (s: ForceState, e: ForceEvent & {type: 'learn'}) =>
      updateDaemon(s, e.daemon, daemon => ({
        ...daemon,
        vouched: s.witnessed,
        floor: daemon.floor ?? s.witnessed,
      })),
    enforce: (s: ForceState, e: ForceEvent & {type: 'enforce'}) =>
      updateDaemon(s, e.daemon, daemon => enforce(daemon, rules)),
    restart: (s: ForceState, e: ForceEvent & {type: 'restart'}) =>
      updateDaemon(s, e.daemon, daemon => ({
        ...STARTED,
        highest: daemon.highest,
      })),
  };
  return {
    name: 'configuration in force',
    start: START,
    events: EVENTS,
    step: (state, event) => handlers[event.type](state, event as never),
    violation: ({daemons}) => {
      const fell = daemons.some(
        ({inForce, highest}) => inForce !== NOTHING && inForce < highest,
      );
      return fell ? 'a revision in force fell' : undefined;
    },
  };
}
