/**
 * One soak run: a fleet of real processes behind links, callers that keep
 * their connections, faults drawn from a seed, and what must hold throughout,
 * as callers and backend servers see it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, until} from '../features/support/fleet.js';
import {untilGenerationInForce} from '../features/support/generation.js';
import {
  OpenLoopLoad,
  countOutcomes,
} from '../features/support/open_loop_load.js';
import {runsOfAll} from '../features/support/runs.js';
import {Callers} from './callers.js';
import {strikeAll} from './faults.js';
import {planOf, type SoakOptions} from './plan.js';
import {judge, LIMITED, type Verdict} from './verdict.js';

/** What the customer that is limited sends, four times its rate. */
const LIMITED_PER_S = 160;
const START_MS = 40_000;
/** Faults that last, generations and leases are over by then. */
const RECOVERY_MS = 40_000;
/** What a process still had in its buffers runs by then, or never. */
const SETTLE_MS = 3500;

const SHEET = `kind;id;name;ratePerSecond;burst;floor;path;service;deadlineMs
customer;sweeps;Sweeps;2000;1000;;;;
customer;${LIMITED.id};Limited;${LIMITED.ratePerS};${LIMITED.burst};;;;
service;sweep-engine;;;;1;;;
route;sweep;;;;;/sweep;sweep-engine;2500
service;ledger-read;;;;1;;;
route;ledger;;;;;/ledger;ledger-read;2500`;

/** One seed, its faults, and what they showed. */
export interface SoakResult extends Verdict {
  readonly seed: number;
  readonly faults: readonly string[];
  /** Answers of the customer that sends more than its rate. */
  readonly limited: string;
}

/** Plays one seed; ends every process that it started. */
export async function soak(
  seed: number,
  options: SoakOptions,
): Promise<SoakResult> {
  const fleet = new Fleet();
  try {
    const keys = await startFleet(fleet, options);
    return await play(fleet, keys, seed, options);
  } finally {
    await fleet.stop();
  }
}

interface Keys {
  readonly sweeps: string;
  readonly limited: string;
}

const sweepInstanceOf = (daemon: string) => `sweep-${daemon}`;

async function startFleet(fleet: Fleet, options: SoakOptions): Promise<Keys> {
  const ids = Array.from({length: options.daemons}, (_, i) => `d${i + 1}`);
  await fleet.startStore();
  await fleet.startNetwork(ids);
  for (const [index, id] of ids.entries()) {
    const failureDomain = `domain-${(index % 3) + 1}`;
    await fleet.startDaemon({id, failureDomain, mutant: options.mutant});
  }
  const started = ids.flatMap(id => [
    fleet.startInstance({
      id: sweepInstanceOf(id),
      service: 'sweep-engine',
      daemons: [id],
    }),
    fleet.startInstance({
      id: `ledger-${id}`,
      service: 'ledger-read',
      daemons: [id],
    }),
  ]);
  await Promise.all(started);
  await untilGenerationInForce(fleet);
  await fleet.applySheet('d1', SHEET);
  const sweeps = await fleet.issueKey('d1', 'sweeps');
  const limited = await fleet.issueKey('d1', LIMITED.id);
  const bothServe = async () =>
    (await allServe(fleet, sweeps)) && (await allServe(fleet, limited));
  await until('all serve', bothServe, START_MS);
  return {sweeps, limited};
}

async function allServe(fleet: Fleet, key: string): Promise<boolean> {
  const sent = [...fleet.daemons.values()].map(({addresses}) =>
    fetch(`http://${addresses.callers}/sweep/run`, {
      method: 'POST',
      headers: {'x-api-key': key},
    }),
  );
  const answers = await Promise.all(sent);
  return answers.every(({status}) => status === 200);
}

async function play(
  fleet: Fleet,
  keys: Keys,
  seed: number,
  options: SoakOptions,
): Promise<SoakResult> {
  const plan = planOf(seed, options);
  const daemons = [...fleet.daemons.keys()];
  const addressOf = (id: string) => fleet.daemon(id).addresses.callers;
  const callers = daemons.map(
    id => new Callers(() => addressOf(id), keys.sweeps),
  );
  const limited = new OpenLoopLoad({
    targets: daemons.map(addressOf),
    path: '/ledger/balances',
    key: keys.limited,
    requestsPerS: LIMITED_PER_S,
    batchSize: 1,
  });
  await strikeAll(fleet, plan, daemons.map(sweepInstanceOf));
  const recovered = await until(
    'all serve again',
    () => allServe(fleet, keys.sweeps),
    RECOVERY_MS,
  ).then(
    () => true,
    () => false,
  );
  await Promise.all([...callers.map(c => c.stop()), limited.stop()]);
  await sleep(SETTLE_MS);
  const told = callers.flatMap(c => c.told);
  const runs = await runsOfAll({fleet});
  return {
    seed,
    faults: plan.map(f => `${f.kind} ${f.victim} at ${f.atMs} for ${f.forMs}`),
    limited: countOutcomes(limited.answers),
    ...judge(told, runs, recovered),
  };
}
