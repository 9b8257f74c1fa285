/**
 * A tour of a small fleet, for newcomers: one line for each thing that
 * happens. It starts every process itself, and ends and removes them all.
 */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, READER_TOKEN, until} from '../features/support/fleet.js';

const DOMAINS = ['vn-south-1', 'vn-south-2', 'vn-south-3'] as const;
const DAEMONS = ['d1', 'd2', 'd3', 'd4', 'd5', 'd6'] as const;
const SETTLE_MS = 10_000;
const GRAY_MS = 5000;
const PAUSE_MS = 8;
const SHEET = [
  'kind;id;name;ratePerSecond;burst;floor;path;service;idempotent',
  'customer;can-tho;Công ty Cần Thơ;400,0;200;;;;',
  'customer;da-lat;Công ty Đà Lạt;10;10;;;;',
  'service;ledger-read;;;;3;;;',
  'service;sweep-engine;;;;1;;;',
  'route;ledger;;;;;/ledger;ledger-read;',
  'route;sweeps;;;;;/sweeps;sweep-engine;no',
].join('\r\n');

interface Answer {
  readonly status: number;
  readonly ran?: string;
  readonly instance?: string;
  readonly title?: string;
  readonly retryAfter: string | null;
}

const fleet = new Fleet();
let turn = 0;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Sends one request to the next daemon in turn. */
async function request(
  path: string,
  key?: string,
  method = 'GET',
): Promise<Answer> {
  const daemon = DAEMONS[turn++ % DAEMONS.length] ?? 'd1';
  const {callers} = fleet.daemon(daemon).addresses;
  const headers: Record<string, string> = key ? {'x-api-key': key} : {};
  const res = await fetch(`http://${callers}${path}`, {method, headers});
  const body = (await res.json()) as Omit<Answer, 'status' | 'retryAfter'>;
  const {status} = res;
  return {...body, status, retryAfter: res.headers.get('retry-after')};
}

async function startFleet(): Promise<void> {
  await fleet.startStore();
  say('The store stand-in runs; it holds the configuration.');
  for (const [index, id] of DAEMONS.entries()) {
    await fleet.startDaemon({
      id,
      failureDomain: DOMAINS[index % DOMAINS.length] ?? DOMAINS[0],
    });
  }
  say(`${DAEMONS.length} daemons run in ${DOMAINS.length} failure domains.`);
  for (const [index, daemon] of DAEMONS.entries()) {
    await fleet.startInstance({
      id: `ledger-${index + 1}`,
      service: 'ledger-read',
      daemons: [daemon],
    });
  }
  await fleet.startInstance({
    id: 'sweep-1',
    service: 'sweep-engine',
    daemons: ['d1'],
  });
  say('7 backend servers announced themselves to the daemon on their VM.');
}

async function configure(): Promise<Readonly<Record<string, string>>> {
  const output = (await fleet.applySheet('d1', SHEET)).trim();
  say(`The planners' sheet was applied: ${output.split('\n').at(-1)}`);
  const canTho = await fleet.issueKey('d1', 'can-tho');
  const daLat = await fleet.issueKey('d1', 'da-lat');
  await until('all daemons serve', allServe(daLat), SETTLE_MS);
  say('Keys were issued for the customers can-tho and da-lat.');
  return {canTho, daLat};
}

/** Every daemon knows the newest key and every instance. */
function allServe(key: string): () => Promise<boolean> {
  return async () => {
    const found = await Promise.all(
      DAEMONS.map(async () => (await request('/no-such-path', key)).status),
    );
    const all = await Promise.all(DAEMONS.map(id => fleet.status(id)));
    const known = all.every(({members}) =>
      members.every(member => (member.slots['ledger-read'] ?? 0) > 0),
    );
    const revisions = new Set(all.map(({revision}) => revision));
    return found.every(status => status === 404) && known && revisions.size < 2;
  };
}

async function showRequests(canTho: string, daLat: string): Promise<void> {
  const served = await request('/ledger/balances', canTho);
  say(`With a key: ${served.status}, answered by ${served.instance}.`);
  const sweep = await request('/sweeps/tonight', canTho, 'POST');
  say(`A sweep, which must run once: ${sweep.status}, by ${sweep.instance}.`);
  const missing = await request('/ledger/balances');
  say(
    `Without a key: ${missing.status} "${missing.title}", ran ${missing.ran}.`,
  );
  const wrong = await request('/ledger/balances', 'wrong');
  say(`With a wrong key: ${wrong.status} "${wrong.title}", ran ${wrong.ran}.`);
  const burst = await Promise.all(
    Array.from({length: 40}, () => request('/ledger/balances', daLat)),
  );
  const over = burst.filter(answer => answer.status === 429);
  say(
    `da-lat (burst 10) sends 40 at once: ${40 - over.length} served, ` +
      `${over.length} refused, come back in ${over[0]?.retryAfter ?? '?'} s.`,
  );
}

/** Errors that callers see, in each second of a steady load. */
async function errorsBySecond(key: string): Promise<readonly number[]> {
  const beginMs = performance.now();
  const errors = Array.from({length: GRAY_MS / 1000}, () => 0);
  while (performance.now() - beginMs < GRAY_MS) {
    const second = Math.floor((performance.now() - beginMs) / 1000);
    const {status} = await request('/ledger/balances', key);
    if (status >= 500) errors[second] = (errors[second] ?? 0) + 1;
    await sleep(PAUSE_MS);
  }
  return errors;
}

async function showGrayFailure(key: string): Promise<void> {
  const {address} = fleet.instance('ledger-1');
  await fleet.setFaults(address, {errorShare: 0.3, probeStatus: 200});
  say('ledger-1 now fails 30% of real requests; its probes still pass.');
  const errors = await errorsBySecond(key);
  const {health} = await fleet.status('d1');
  const found = health.find(({instance}) => instance === 'ledger-1');
  say(`Daemon d1 found it by real work: its grade is "${found?.grade}" now.`);
  say(`Errors that callers saw, second by second: ${errors.join(', ')}.`);
  await fleet.setFaults(address, {});
}

async function showStoreOutage(key: string): Promise<void> {
  await fleet.setFaults(fleet.storeAddress, {outage: true});
  const statuses = await Promise.all(
    Array.from({length: 30}, async () => {
      return (await request('/ledger/balances', key)).status;
    }),
  );
  const served = statuses.filter(status => status === 200).length;
  say(`The store is away: ${served} of 30 requests were served.`);
  await fleet.setFaults(fleet.storeAddress, {});
}

async function showPlannedStop(key: string): Promise<void> {
  const daemon = fleet.daemon('d6');
  const open = request('/ledger/balances', key);
  const code = await daemon.process.end('SIGTERM');
  say(
    `Daemon d6 stops as planned: exit code ${code}; it left the fleet first.`,
  );
  say(`A request that was open meanwhile: ${(await open).status}.`);
}

async function showReport(): Promise<void> {
  const tokenFile = fleet.writeFile('reader.token', READER_TOKEN);
  const {administration} = fleet.daemon('d1').addresses;
  const page = path.resolve('dist/burn.html');
  const result = await fleet.run([
    ...['report', 'burn', '--admin', administration],
    ...['--token-file', tokenFile, '--html', page],
  ]);
  say('The report on service-level burn, from the counts of all daemons:');
  say(result.stdout.trimEnd().replaceAll(/^/gm, '  | '));
  say(`The same as a page with plots: ${page}`);
}

async function main(): Promise<void> {
  try {
    await startFleet();
    const {canTho = '', daLat = ''} = await configure();
    await showRequests(canTho, daLat);
    await showGrayFailure(canTho);
    await showStoreOutage(canTho);
    await showPlannedStop(canTho);
    await showReport();
  } finally {
    await fleet.stop();
    say('Every process was ended.');
  }
}

// A reader that goes away must not leave processes behind.
process.stdout.on('error', () => void fleet.stop().then(() => process.exit(1)));
process.on('SIGINT', () => void fleet.stop().then(() => process.exit(130)));
void main();
