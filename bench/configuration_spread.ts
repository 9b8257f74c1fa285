/**
 * Measures a sheet of a given size: how long it takes to apply, how long
 * until it and then one further change are in force on the last daemon, the
 * calls of the store, and the memory of a daemon. Prints JSON.
 *
 * Arguments: CUSTOMERS ROUTES [DAEMONS]
 */
import {readFileSync} from 'node:fs';
import {Fleet, until} from '../features/support/fleet.js';

const [customers = '1000', routes = '400', daemons = '3'] =
  process.argv.slice(2);
const SERVICES = 850;
const BOUND_MS = 120_000;

function makeSheet(customerCount: number, routeCount: number): string {
  const numbers = (count: number) => Array.from({length: count}, (_, i) => i);
  return [
    'kind;id;name;ratePerSecond;burst;host;path;service;customers',
    ...numbers(SERVICES).map(i => `service;svc-${i};;;;;;;`),
    ...numbers(customerCount).map(
      i => `customer;customer-${i};Công ty ${i};${(i % 90) + 1},5;20;;;;`,
    ),
    ...numbers(routeCount).map(
      i =>
        `route;route-${i};;;;host-${i % 5000}.example;/r/${i};` +
        `svc-${i % SERVICES};customer-${i % customerCount}`,
    ),
  ].join('\r\n');
}

async function waitForRevision(fleet: Fleet, revision: number): Promise<void> {
  const ids = [...fleet.daemons.keys()];
  const holds = async (id: string) =>
    (await fleet.status(id)).revision === revision;
  await until(
    `revision ${revision} everywhere`,
    async () => (await Promise.all(ids.map(holds))).every(Boolean),
    BOUND_MS,
  );
}

async function storeCounts(fleet: Fleet): Promise<unknown> {
  return (await fetch(`http://${fleet.storeAddress}/counts`)).json();
}

/** Resident memory of each process that the fleet runs, in MB. */
function residentMb(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Math.round(Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024);
}

async function operate(fleet: Fleet, args: readonly string[]): Promise<number> {
  const startedAtMs = performance.now();
  const result = await fleet.operate('d1', args);
  if (result.code !== 0) throw new Error(result.stderr);
  return Math.round(performance.now() - startedAtMs);
}

async function measure(fleet: Fleet): Promise<unknown> {
  await fleet.startStore();
  for (const index of Array.from({length: Number(daemons)}).keys()) {
    const failureDomain = `domain-${index % 3}`;
    await fleet.startDaemon({id: `d${index + 1}`, failureDomain});
  }
  const sheet = makeSheet(Number(customers), Number(routes));
  const file = fleet.writeFile('size.csv', sheet);
  const sheetAtMs = performance.now();
  const applyMs = await operate(fleet, ['apply', file]);
  await waitForRevision(fleet, 1);
  const inForceMs = Math.round(performance.now() - sheetAtMs);
  const before = await storeCounts(fleet);
  const changeAtMs = performance.now();
  const change = ['customer', 'set', 'customer-1', 'burst=21'];
  const changeMs = await operate(fleet, change);
  await waitForRevision(fleet, 2);
  return {
    customers: Number(customers),
    routes: Number(routes),
    daemons: Number(daemons),
    sheetBytes: Buffer.byteLength(sheet),
    applyMs,
    inForceMs,
    changeMs,
    changeInForceMs: Math.round(performance.now() - changeAtMs),
    residentMb: [...fleet.daemons.values()].map(d => residentMb(d.process.pid)),
    storeCalls: {before, after: await storeCounts(fleet)},
  };
}

const fleet = new Fleet();
measure(fleet)
  .then(result => process.stdout.write(`${JSON.stringify(result)}\n`))
  .finally(() => fleet.stop())
  .catch((err: unknown) => {
    process.stderr.write(`${String(err)}\n`);
    process.exitCode = 1;
  });
