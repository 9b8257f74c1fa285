/**
 * The latency that one daemon adds to a small GET: a direct call, a bare relay
 * and a daemon take turns in one open-loop run before the same instance.
 *
 * Arguments: [--seconds N] [--rate N] [--seed N] [--json] [--profile FOLDER].
 * The rate is requests per second for each of the three ways.
 */
import path from 'node:path';
import {parseArgs} from 'node:util';
import {Pool} from 'undici';
import {Fleet, until} from '../features/support/fleet.js';
import {TestProcess} from '../features/support/process.js';
import {addedTo, LatencyHistogram} from './lib/histogram.js';
import {arrivalsOf, randomOf, runOpenLoop} from './lib/open_loop.js';

const {values: options} = parseArgs({
  options: {
    seconds: {type: 'string', default: '20'},
    rate: {type: 'string', default: '100'},
    seed: {type: 'string', default: '1'},
    json: {type: 'boolean', default: false},
    profile: {type: 'string'},
  },
});
const WARM_UP_MS = 3000;
const SLOTS = 64;
const CONNECTIONS = 64;
const SETTLE_MS = 10_000;
const WAYS = ['direct', 'bare relay', 'daemon'] as const;
const SHEET = [
  'kind;id;name;ratePerSecond;burst;floor;path;service',
  'customer;bench;Bench;1000000;1000000;;;',
  'service;echo;;;;1;;',
  'route;echo;;;;;/echo;echo',
].join('\r\n');

type Way = (typeof WAYS)[number];

async function startFleet(fleet: Fleet): Promise<string> {
  await fleet.startStore();
  await fleet.startDaemon({
    id: 'd1',
    failureDomain: 'domain-1',
    nodeArgs: options.profile
      ? ['--cpu-prof', `--cpu-prof-dir=${options.profile}`]
      : [],
  });
  const daemons = ['d1'];
  await fleet.startInstance({
    id: 'echo-1',
    service: 'echo',
    daemons,
    slots: SLOTS,
    serviceMs: 1,
  });
  await fleet.applySheet('d1', SHEET);
  return fleet.issueKey('d1', 'bench');
}

async function measure(fleet: Fleet, key: string) {
  const instance = fleet.instance('echo-1').address;
  const relay = await TestProcess.start({
    script: path.resolve('dist/bench/bare_relay.cjs'),
    args: [instance],
  });
  const poolTo = (address: string) =>
    new Pool(`http://${address}`, {connections: CONNECTIONS});
  const pools: Readonly<Record<Way, Pool>> = {
    direct: poolTo(instance),
    'bare relay': poolTo(`127.0.0.1:${relay.firstLine.split(' ')[1]}`),
    daemon: poolTo(fleet.daemon('d1').addresses.callers),
  };
  const call = async (way: Way): Promise<number> => {
    const startedMs = performance.now();
    const headers = {'x-api-key': key};
    const answer = await pools[way].request({
      path: '/echo/x',
      method: 'GET',
      headers,
    });
    await answer.body.dump();
    if (answer.statusCode !== 200) throw new Error(String(answer.statusCode));
    return performance.now() - startedMs;
  };
  await until(
    'the daemon serves',
    async () => {
      return (await call('daemon')) > 0;
    },
    SETTLE_MS,
  );
  const daemon = fleet.daemon('d1').process;
  const before = [relay.processorMs, daemon.processorMs] as const;
  const result = await load(call);
  const each = 1000 / (Number(options.rate) * totalMs());
  const processorMs = {
    bareRelay: round((relay.processorMs - before[0]) * each),
    daemon: round((daemon.processorMs - before[1]) * each),
  };
  await relay.end('SIGTERM');
  await Promise.all(Object.values(pools).map(pool => pool.close()));
  return {...result, processorMsPerRequest: processorMs};
}

function totalMs(): number {
  return WARM_UP_MS + Number(options.seconds) * 1000;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

async function load(call: (way: Way) => Promise<number>) {
  const random = randomOf(Number(options.seed));
  const items = WAYS.flatMap(way =>
    arrivalsOf(random, Number(options.rate), 0, totalMs()).map(atMs => ({
      atMs,
      way,
    })),
  );
  const histograms = new Map(WAYS.map(way => [way, new LatencyHistogram()]));
  let failed = 0;
  const lagMs = await runOpenLoop(items, async ({atMs, way}) => {
    const tookMs = await call(way).catch(() => undefined);
    if (tookMs === undefined) failed += 1;
    else if (atMs >= WARM_UP_MS) histograms.get(way)?.record(tookMs);
  });
  const of = (way: Way) =>
    (histograms.get(way) ?? new LatencyHistogram()).percentiles();
  return {
    ratePerSecond: Number(options.rate),
    seconds: Number(options.seconds),
    failed,
    worstStartLagMs: round(lagMs),
    direct: of('direct'),
    addedByBareRelay: addedTo(of('direct'), of('bare relay')),
    addedByDaemon: addedTo(of('direct'), of('daemon')),
  };
}

async function main(): Promise<void> {
  const fleet = new Fleet();
  try {
    const result = await measure(fleet, await startFleet(fleet));
    if (options.json) {
      process.stdout.write(`${JSON.stringify(result)}\n`);
    } else {
      const {direct, addedByBareRelay, addedByDaemon, ...rest} = result;
      console.table({direct, addedByBareRelay, addedByDaemon});
      process.stdout.write(`${JSON.stringify(rest)}\n`);
    }
    if (options.profile) await fleet.daemon('d1').process.end('SIGTERM');
  } finally {
    await fleet.stop();
  }
}

void main();
