/**
 * Runs a scenario on one of today's deployments and prints the measures of
 * the brief, as a table or as JSON lines.
 *
 * Arguments: [--deployment sen-vang|fonds|all] [--scenario NAME,...|all]
 * [--policy fleet|baseline] [--seeds 1,2,3] [--json]
 */
import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {parseArgs} from 'node:util';
import {Pool} from 'undici';
import {BenchFleet} from './lib/bench_fleet.js';
import {Caller} from './lib/caller.js';
import {DEPLOYMENTS, type Deployment} from './lib/deployments.js';
import {addedTo, LatencyHistogram} from './lib/histogram.js';
import {randomOf, runOpenLoop} from './lib/open_loop.js';
import {planLoad, ratesOf, type Arrival, type Scenario} from './lib/plan.js';
import {tally, type Run, type Seen} from './lib/tally.js';
import {GradeWatch} from './lib/watch.js';

const {values: options} = parseArgs({
  options: {
    deployment: {type: 'string', default: 'all'},
    scenario: {type: 'string', default: 'all'},
    policy: {type: 'string', default: 'fleet'},
    seeds: {type: 'string', default: '1'},
    json: {type: 'boolean', default: false},
  },
});
const SCENARIOS = path.resolve('bench/scenarios');
const DIRECT_INTERVAL_MS = 50;
const DIRECT_WORK_MS = 20;
const DIRECT_ID = 'direct-0';

interface Load {
  readonly seen: readonly Seen[];
  readonly direct: LatencyHistogram;
  readonly lagMs: number;
}

/** Calls an instance outside the fleet directly, all through the run. */
async function measureDirect(
  address: string,
  histogram: LatencyHistogram,
  endAtMs: number,
): Promise<void> {
  const pool = new Pool(`http://${address}`, {connections: 4});
  const headers = {'x-work-ms': String(DIRECT_WORK_MS)};
  while (performance.now() < endAtMs) {
    const startedMs = performance.now();
    const answer = await pool.request({path: '/x', method: 'GET', headers});
    await answer.body.dump();
    histogram.record(performance.now() - startedMs - DIRECT_WORK_MS);
    await sleep(DIRECT_INTERVAL_MS);
  }
  await pool.close();
}

async function runLoad(
  bench: BenchFleet,
  scenario: Scenario,
  arrivals: readonly Arrival[],
  watch: GradeWatch,
  seed: number,
): Promise<Load> {
  const caller = new Caller(bench, scenario.bodyFactor ?? 1);
  const seen: Seen[] = [];
  const direct = new LatencyHistogram();
  const endAtMs = performance.now() + scenario.durationMs;
  const random = randomOf(seed + 1000);
  const events = scenario.events.map(async event => {
    await sleep(event.atMs);
    await bench.carryOut(event, random, watch, endAtMs);
  });
  const {address} = bench.fleet.instance(DIRECT_ID);
  const measured = measureDirect(address, direct, endAtMs);
  let count = 0;
  const lagMs = await runOpenLoop(arrivals, async arrival => {
    const requestId = `bench-${count++}`;
    seen.push(await caller.send(arrival, requestId));
  });
  await Promise.all([...events, measured]);
  await caller.close();
  return {seen, direct, lagMs};
}

async function runsOf(bench: BenchFleet): Promise<readonly Run[]> {
  const lists = await Promise.all(
    [...bench.fleet.instances.values()]
      .filter(({id}) => id !== DIRECT_ID)
      .map(async ({address}) => {
        const res = await fetch(`http://${address}/ran`);
        return (await res.json()) as readonly Run[];
      }),
  );
  return lists.flat();
}

async function runOnce(deployment: Deployment, name: string, seed: number) {
  const file = path.join(SCENARIOS, `${name}.json`);
  const scenario = JSON.parse(readFileSync(file, 'utf8')) as Scenario;
  const bench = new BenchFleet({
    deployment,
    variant: options.policy === 'fleet' ? undefined : options.policy,
    links: true,
  });
  try {
    await bench.start(ratesOf(deployment, scenario));
    await bench.fleet.startInstance({
      id: DIRECT_ID,
      service: 'direct',
      daemons: [],
      slots: 16,
    });
    const watch = new GradeWatch(bench.fleet);
    const watching = watch.run();
    const arrivals = planLoad(deployment, scenario, seed);
    const load = await runLoad(bench, scenario, arrivals, watch, seed);
    const grades = watch.stop();
    await watching;
    const {overWork, ...requests} = tally(
      load.seen,
      await runsOf(bench),
      scenario.surge?.customer,
    );
    return {
      deployment: deployment.name,
      scenario: name,
      policy: options.policy,
      seed,
      ...grades,
      ...requests,
      added: addedTo(load.direct.percentiles(), overWork),
      worstStartLagMs: Math.round(load.lagMs),
    };
  } finally {
    await bench.fleet.stop();
  }
}

type Result = Awaited<ReturnType<typeof runOnce>>;

const percent = (share: number) => `${(share * 100).toFixed(2)}%`;

function rowOf(result: Result) {
  const {worstCustomer: worst} = result;
  const worstShare = worst ? worst.served / Math.max(1, worst.requests) : 0;
  const times = Object.values(result.detectMs).map(ms => ms ?? 'never');
  return {
    run: `${result.deployment} ${result.scenario} ${result.seed}`,
    requests: result.requests,
    'detect ms': times.join(', '),
    mistakes: result.ejectedByMistake.length,
    worst: worst ? `${percent(worstShare)} p99 ${worst.p99Ms}` : '',
    'refused within': percent(result.refusedWithinShare),
    'added ms': `${result.added.p50} / ${result.added.p99} / ${result.added.p999}`,
    'extra runs': percent(result.extraRunsShare),
    wasted: percent(result.wastedRunsShare),
    'ran twice': result.ranTwice,
  };
}

function chosen(value: string, all: readonly string[]): readonly string[] {
  return value === 'all' ? all : value.split(',');
}

async function main(): Promise<void> {
  const files = readdirSync(SCENARIOS).map(file => file.replace('.json', ''));
  const rows: ReturnType<typeof rowOf>[] = [];
  for (const name of chosen(options.deployment, Object.keys(DEPLOYMENTS))) {
    const deployment = DEPLOYMENTS[name];
    if (!deployment) throw new Error(`no deployment ${name}`);
    for (const scenario of chosen(options.scenario, files)) {
      for (const seed of options.seeds.split(',').map(Number)) {
        const result = await runOnce(deployment, scenario, seed);
        if (options.json) process.stdout.write(`${JSON.stringify(result)}\n`);
        rows.push(rowOf(result));
      }
    }
  }
  if (!options.json) console.table(rows);
}

void main();
