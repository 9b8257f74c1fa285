/**
 * Strikes a fleet with faults and mends each one. Faults of one process come
 * one after the other; all others overlap.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../features/support/fleet.js';
import type {TestProcess} from '../features/support/process.js';
import type {Fault, FaultKind} from './plan.js';

/** The names that a fault's indexes stand for. */
interface Struck {
  readonly fleet: Fleet;
  readonly fault: Fault;
  readonly victim: string;
  readonly other: string;
  readonly instance: string;
}

type Strike = (struck: Struck) => Promise<void>;

/** Added to each direction of a slow link. */
const SLOW_LINK_MS = 300;

const STRIKES: Readonly<Record<FaultKind, Strike>> = {
  kill: struck => endAndRestart(struck, 'SIGKILL'),
  restart: struck => endAndRestart(struck, 'SIGTERM'),
  pause: ({fleet, fault, victim}) =>
    pause(fleet.daemon(victim).process, fault.forMs),
  'pause-instance': ({fleet, fault, instance}) =>
    pause(fleet.instance(instance).process, fault.forMs),
  'drop-answers': async ({fleet, fault, instance}) => {
    const {address} = fleet.instance(instance);
    await fleet.setFaults(address, {dropAnswer: true});
    await sleep(fault.forMs);
    await fleet.setFaults(address, {});
  },
  cut: async ({fleet, fault, victim, other}) => {
    await fleet.network.cut(victim, other);
    await sleep(fault.forMs);
    await fleet.network.heal(victim, other);
  },
  'cut-one-way': async ({fleet, fault, victim, other}) => {
    await fleet.network.cutOneWay(victim, other);
    await sleep(fault.forMs);
    await fleet.network.heal(victim, other);
  },
  'slow-link': async ({fleet, fault, victim, other}) => {
    const link = `${victim}>${other}`;
    await fleet.network.link(link, {delayMs: SLOW_LINK_MS});
    await sleep(fault.forMs);
    await fleet.network.link(link, {delayMs: 0});
  },
  'cut-from-store': async ({fleet, fault, victim}) => {
    await fleet.network.cut(victim, 'store');
    await sleep(fault.forMs);
    await fleet.network.heal(victim, 'store');
  },
  'store-outage': async ({fleet, fault}) => {
    await fleet.setFaults(fleet.storeAddress, {outage: true});
    await sleep(fault.forMs);
    await fleet.setFaults(fleet.storeAddress, {});
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
    const mended = last.then(() => STRIKES[fault.kind](struck));
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

async function endAndRestart(
  {fleet, fault, victim}: Struck,
  signal: NodeJS.Signals,
): Promise<void> {
  await fleet.daemon(victim).process.end(signal);
  await sleep(fault.forMs);
  await fleet.restartDaemon(victim);
}

async function pause(process: TestProcess, forMs: number): Promise<void> {
  process.signal('SIGSTOP');
  await sleep(forMs);
  process.signal('SIGCONT');
}
