/**
 * One soak run: a fleet of real processes behind links, callers that keep
 * their connections, faults drawn from a seed, and what must hold throughout,
 * as callers and backend servers see it.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, until} from '../features/support/fleet.js';
import {untilGenerationInForce} from '../features/support/generation.js';
import {
  Load,
  mostInWindow,
  tally,
  worstWindow,
} from '../features/support/load.js';
import {runsOfAll, type InstanceRun} from '../features/support/runs.js';
import {Callers, type Told} from './callers.js';
import {strikeAll} from './faults.js';
import {planOf, type SoakOptions} from './plan.js';

/** What a run showed; the lists of ids are empty if all held. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly posts: number;
  readonly served: number;
  readonly outcomes: Readonly<Record<string, number>>;
  /** Ids of requests that ran twice. */
  readonly ranTwice: readonly string[];
  /** Ids of requests that ran though their caller was told otherwise. */
  readonly untrue: readonly string[];
  /** Ids of requests whose caller got the answer to another. */
  readonly mixedUp: readonly string[];
  /** Starts above rate times length in the worst window of time. */
  readonly worstWindow: number;
  /** Answers of the customer that sends more than its rate. */
  readonly limited: string;
  readonly brokenRules: readonly string[];
}

const RATE_PER_S = 40;
const BURST = 30;
const LIMITED_PER_S = 160;
const START_MS = 40_000;
/** Faults that last, generations and leases are over by then. */
const RECOVERY_MS = 40_000;
/** What a process still had in its buffers runs by then, or never. */
const SETTLE_MS = 3500;

const SHEET = `kind;id;name;ratePerSecond;burst;floor;path;service;deadlineMs
customer;sweeps;Sweeps;2000;1000;;;;
customer;limited;Limited;${RATE_PER_S};${BURST};;;;
service;sweep-engine;;;;1;;;
route;sweep;;;;;/sweep;sweep-engine;2500
service;ledger-read;;;;1;;;
route;ledger;;;;;/ledger;ledger-read;2500`;

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
  const limited = await fleet.issueKey('d1', 'limited');
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
  const limited = new Load({
    targets: daemons.map(addressOf),
    path: '/ledger/balances',
    key: keys.limited,
    perSecond: LIMITED_PER_S,
    atOnce: 1,
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
  const result = judge(told, runs);
  return {
    seed,
    faults: plan.map(f => `${f.kind} ${f.victim} at ${f.atMs} for ${f.forMs}`),
    ...result,
    limited: tally(limited.answers),
    brokenRules: brokenRules(result, recovered),
  };
}

type Judged = Omit<SoakResult, 'seed' | 'faults' | 'limited' | 'brokenRules'>;

function judge(told: readonly Told[], runs: readonly InstanceRun[]): Judged {
  const ran = new Map<string, number>();
  runs.forEach(({id}) => ran.set(id, (ran.get(id) ?? 0) + 1));
  const outcomes: Record<string, number> = {};
  told.forEach(({status, ran: word}) => {
    const name = word === undefined ? String(status) : `${status} ${word}`;
    outcomes[name] = (outcomes[name] ?? 0) + 1;
  });
  const idsWhere = (holds: (t: Told) => boolean) =>
    told.filter(holds).map(({id}) => id);
  const starts = runs
    .filter(({customer}) => customer === 'limited')
    .map(({startedMs}) => startedMs);
  return {
    posts: told.length,
    served: idsWhere(({status}) => status === 200).length,
    outcomes,
    ranTwice: idsWhere(({id}) => (ran.get(id) ?? 0) > 1),
    untrue: idsWhere(t => t.ran === 'no' && ran.has(t.id)),
    mixedUp: idsWhere(t => t.answeredId !== undefined && t.answeredId !== t.id),
    worstWindow: worstWindow(starts, RATE_PER_S),
  };
}

function brokenRules(result: Judged, recovered: boolean): readonly string[] {
  const broken = {
    'at most once': result.ranTwice.length > 0,
    'truth of "not run"': result.untrue.length > 0,
    'answers to their own caller': result.mixedUp.length > 0,
    'rate of a customer': result.worstWindow > mostInWindow(BURST, RATE_PER_S),
    'all serve again after the faults': !recovered,
    'something was served': result.served === 0,
  };
  return Object.entries(broken).flatMap(([rule, is]) => (is ? [rule] : []));
}
