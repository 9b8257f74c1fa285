/**
 * Strikes a fleet with faults and mends each one. Faults of one process come
 * one after the other; all others overlap.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../features/support/fleet.js';
import type {Fault, FaultKind} from './plan.js';

/** The names that a fault's indexes stand for. */
interface Struck {
  readonly fleet: Fleet;
  readonly fault: Fault;
  readonly victim: string;
  readonly other: string;
  readonly instance: string;
}

/** How a fault begins and how it is mended. */
interface Strike {
  readonly begin: (struck: Struck) => unknown;
  readonly mend: (struck: Struck) => unknown;
}

/** Added to each direction of a slow link. */
const SLOW_LINK_MS = 300;

const healLink = ({fleet, victim, other}: Struck) =>
  fleet.network.heal(victim, other);
const restart = ({fleet, victim}: Struck) => fleet.restartDaemon(victim);
const daemonOf = ({fleet, victim}: Struck) => fleet.daemon(victim).process;
const instanceOf = ({fleet, instance}: Struck) => fleet.instance(instance);
const dropAnswers = (struck: Struck, dropAnswer: boolean) =>
  struck.fleet.setFaults(instanceOf(struck).address, {dropAnswer});
const takeStoreAway = ({fleet}: Struck, outage: boolean) =>
  fleet.setFaults(fleet.storeAddress, {outage});
const delayLink = ({fleet, victim, other}: Struck, delayMs: number) =>
  fleet.network.link(`${victim}>${other}`, {delayMs});

const STRIKES: Readonly<Record<FaultKind, Strike>> = {
  kill: {
    begin: struck => daemonOf(struck).end('SIGKILL'),
    mend: restart,
  },
  restart: {
    begin: struck => daemonOf(struck).end('SIGTERM'),
    mend: restart,
  },
  pause: {
    begin: struck => daemonOf(struck).signal('SIGSTOP'),
    mend: struck => daemonOf(struck).signal('SIGCONT'),
  },
  'pause-instance': {
    begin: struck => instanceOf(struck).process.signal('SIGSTOP'),
    mend: struck => instanceOf(struck).process.signal('SIGCONT'),
  },
  'drop-answers': {
    begin: struck => dropAnswers(struck, true),
    mend: struck => dropAnswers(struck, false),
  },
  cut: {
    begin: ({fleet, victim, other}) => fleet.network.cut(victim, other),
    mend: healLink,
  },
  'cut-one-way': {
    begin: ({fleet, victim, other}) => fleet.network.cutOneWay(victim, other),
    mend: healLink,
  },
  'slow-link': {
    begin: struck => delayLink(struck, SLOW_LINK_MS),
    mend: struck => delayLink(struck, 0),
  },
  'cut-from-store': {
    begin: ({fleet, victim}) => fleet.network.cut(victim, 'store'),
    mend: ({fleet, victim}) => fleet.network.heal(victim, 'store'),
  },
  'store-outage': {
    begin: struck => takeStoreAway(struck, true),
    mend: struck => takeStoreAway(struck, false),
  },
};

/** Faults that change a daemon's process. */
const OF_DAEMON: ReadonlySet<FaultKind> = new Set(['kill', 'restart', 'pause']);

/** Faults that change an instance's process. */
const OF_INSTANCE: ReadonlySet<FaultKind> = new Set([
  'pause-instance',
  'drop-answers',
]);

/** Strikes with all faults of a plan; resolves when all are mended. */
export async function strikeAll(
  fleet: Fleet,
  plan: readonly Fault[],
  instances: readonly string[],
): Promise<void> {
  const turns = new Map<string, Promise<void>>();
  const startedAtMs = performance.now();
  const daemons = [...fleet.daemons.keys()];
  const nameOf = (names: readonly string[], index: number) =>
    names[index % names.length] ?? '';
  const strike = async (fault: Fault) => {
    const struck = {
      fleet,
      fault,
      victim: nameOf(daemons, fault.victim),
      other: nameOf(daemons, fault.other),
      instance: nameOf(instances, fault.victim),
    };
    await sleep(Math.max(0, startedAtMs + fault.atMs - performance.now()));
    const turn = turnOf(struck);
    const last = turns.get(turn) ?? Promise.resolve();
    const mended = last.then(() => strikeAndMend(struck));
    turns.set(turn, mended);
    await mended;
  };
  await Promise.all(plan.map(strike));
}

/** Faults of the same turn strike one after the other. */
function turnOf({fault, victim, instance}: Struck): string {
  if (OF_INSTANCE.has(fault.kind)) return instance;
  return OF_DAEMON.has(fault.kind) ? victim : JSON.stringify(fault);
}

async function strikeAndMend(struck: Struck): Promise<void> {
  const {begin, mend} = STRIKES[struck.fault.kind];
  await begin(struck);
  await sleep(struck.fault.forMs);
  await mend(struck);
}
