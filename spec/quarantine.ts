/**
 * Specification of how daemons share evidence of a request that ends instances.
 * Two daemons see instances end under the request, exchange what they know,
 * lose each other and restart. Once both have had the chance to learn of three
 * ends, neither sends the request again. A second request, which is harmless,
 * runs beside the first one and is never refused.
 */
import type {Specification} from './explore.js';

const DAEMONS = [0, 1] as const;
const QUARANTINE_ENDS = 3;
/** More instances end only if a rule is left out. */
const MAX_INSTANCES = 2 * QUARANTINE_ENDS;

/** Instances that ended, by number, in ascending order. */
type Ends = readonly number[];

interface Daemon {
  /** The ends that it knows of. */
  readonly deadly: Ends;
  /** Ends of the harmless request; a copy is a second report of one end. */
  readonly harmless: Ends;
  /** What it has sent and the other one hasn't got yet. */
  readonly sent: Ends | null;
}

/** A state of the specification. */
export interface QuarantineState {
  readonly daemons: readonly Daemon[];
  readonly isConnected: boolean;
  /** Instances that have ended in all. */
  readonly ended: number;
  readonly hasSentTooOften: boolean;
}

/** An event of the specification. */
export type QuarantineEvent =
  | {readonly type: 'send'; readonly daemon: number}
  | {readonly type: 'deliver'; readonly daemon: number}
  | {readonly type: 'report'; readonly daemon: number}
  | {readonly type: 'restart'; readonly daemon: number}
  | {readonly type: 'cut'}
  | {readonly type: 'connect'};

/** Rules of the specification; a mutant leaves one of them out. */
export const QUARANTINE_RULES = [
  /** An end is sent to the other daemon at once. */
  'shareEnds',
  /** What both know adds up. */
  'addUp',
  /** Daemons that connect exchange all that they know. */
  'exchangeOnConnect',
  /** A daemon that restarts learns what the other one knows. */
  'learnAtStart',
  /** An end that is reported twice counts once. */
  'countOnce',
] as const;
type QuarantineRules = Readonly<
  Record<(typeof QUARANTINE_RULES)[number], boolean>
>;

const START: QuarantineState = {
  daemons: DAEMONS.map(() => ({deadly: [], harmless: [], sent: null})),
  isConnected: true,
  ended: 0,
  hasSentTooOften: false,
};

const EVENTS: readonly QuarantineEvent[] = [
  {type: 'cut'},
  {type: 'connect'},
  ...DAEMONS.flatMap(daemon => [
    {type: 'send' as const, daemon},
    {type: 'deliver' as const, daemon},
    {type: 'report' as const, daemon},
    {type: 'restart' as const, daemon},
  ]),
];

const NOTHING_KNOWN: Daemon = {deadly: [], harmless: [], sent: null};

function daemonOf(state: QuarantineState, index: number): Daemon {
  return state.daemons[index] ?? NOTHING_KNOWN;
}

function withDaemon(
  state: QuarantineState,
  index: number,
  change: Partial<Daemon>,
): QuarantineState {
  const changed = {...daemonOf(state, index), ...change};
  return {...state, daemons: state.daemons.with(index, changed)};
}

function merge(known: Ends, heard: Ends, rules: QuarantineRules): Ends {
  if (!rules.addUp) return known.length >= heard.length ? known : heard;
  return [...new Set([...known, ...heard])].toSorted((a, b) => a - b);
}

/** Whether all that is known has reached both daemons. */
function isSettled({daemons, isConnected}: QuarantineState): boolean {
  return isConnected && daemons.every(({sent}) => sent === null);
}

/** A daemon sends the request, and the instance that runs it ends. */
function send(
  state: QuarantineState,
  index: number,
  rules: QuarantineRules,
): QuarantineState {
  const {deadly, harmless, sent} = daemonOf(state, index);
  const isRefused = deadly.length >= QUARANTINE_ENDS;
  if (isRefused || state.ended >= MAX_INSTANCES) return state;
  const isKnownToBoth = isSettled(state) && state.ended >= QUARANTINE_ENDS;
  const instance = state.ended;
  const ends = merge(deadly, [instance], {...rules, addUp: true});
  // Only the first run has the harmless request beside it.
  const beside = instance === 0 ? [instance] : harmless;
  const mayShare = rules.shareEnds && state.isConnected;
  const next = withDaemon(state, index, {
    deadly: ends,
    harmless: beside,
    sent: mayShare ? ends : sent,
  });
  const ended = state.ended + 1;
  const hasSentTooOften = state.hasSentTooOften || isKnownToBoth;
  return {...next, ended, hasSentTooOften};
}

function deliver(
  state: QuarantineState,
  index: number,
  rules: QuarantineRules,
): QuarantineState {
  const {sent} = daemonOf(state, index);
  if (!sent) return state;
  const other = 1 - index;
  const deadly = merge(daemonOf(state, other).deadly, sent, rules);
  return withDaemon(withDaemon(state, index, {sent: null}), other, {deadly});
}

/** A second report of the end at which the harmless request was lost. */
function report(
  state: QuarantineState,
  index: number,
  rules: QuarantineRules,
): QuarantineState {
  const {harmless} = daemonOf(state, index);
  const [first] = harmless;
  const isCounted = !rules.countOnce && harmless.length < QUARANTINE_ENDS;
  if (first === undefined || !isCounted) return state;
  return withDaemon(state, index, {harmless: [...harmless, first]});
}

function exchange(
  state: QuarantineState,
  rules: QuarantineRules,
): QuarantineState {
  const [a, b] = DAEMONS.map(index => daemonOf(state, index).deadly);
  const known = merge(a ?? [], b ?? [], rules);
  return DAEMONS.reduce(
    (next, index) => withDaemon(next, index, {deadly: known, sent: null}),
    state,
  );
}

/** Frames in transit are lost. */
function cut(state: QuarantineState): QuarantineState {
  if (!state.isConnected) return state;
  const daemons = state.daemons.map(daemon => ({...daemon, sent: null}));
  return {...state, daemons, isConnected: false};
}

function connect(
  state: QuarantineState,
  rules: QuarantineRules,
): QuarantineState {
  if (state.isConnected) return state;
  const connected = {...state, isConnected: true};
  return rules.exchangeOnConnect ? exchange(connected, rules) : connected;
}

/**
 * A daemon forgets all. Restarts of the only daemon that knows of an end aren't
 * explored: the other one can't learn of it.
 */
function restart(
  state: QuarantineState,
  index: number,
  rules: QuarantineRules,
): QuarantineState {
  if (!state.isConnected) return state;
  const {deadly, sent} = daemonOf(state, index);
  if (deadly.length === 0 || sent !== null) return state;
  const emptied = withDaemon(state, index, NOTHING_KNOWN);
  return rules.learnAtStart ? exchange(emptied, rules) : emptied;
}

function violationOf(state: QuarantineState): string | undefined {
  if (state.hasSentTooOften) return 'sent though three ends are known to both';
  const isHarmlessRefused = state.daemons.some(
    ({harmless}) => harmless.length >= QUARANTINE_ENDS,
  );
  return isHarmlessRefused ? 'a harmless request is refused' : undefined;
}

/** The specification with the given rules. */
export function quarantine(
  rules: QuarantineRules,
): Specification<QuarantineState, QuarantineEvent> {
  return {
    name: 'quarantine',
    start: START,
    events: EVENTS,
    step: (state, event) => {
      const handlers = {
        cut: () => cut(state),
        connect: () => connect(state, rules),
        send: (index: number) => send(state, index, rules),
        deliver: (index: number) => deliver(state, index, rules),
        report: (index: number) => report(state, index, rules),
        restart: (index: number) => restart(state, index, rules),
      };
      const index = 'daemon' in event ? event.daemon : 0;
      return handlers[event.type](index);
    },
    violation: violationOf,
  };
}
