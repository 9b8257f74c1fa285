/**
 * Measures the tables of the configuration at a given size beside a plain
 * `Map` of objects: bytes held, time of a lookup, time to build. Prints JSON.
 *
 * Arguments: [CUSTOMERS] [ROUTES]
 */
import {createHash} from 'node:crypto';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {ConfigurationRecord, Key} from '../src/configuration/records.js';
import {
  editShards,
  EMPTY_STATE,
  recordKey,
  type Shard,
} from '../src/configuration/state.js';
import {keyIdOf} from '../src/configuration/packed_records.js';
import {PackedTables} from '../src/configuration/tables.js';

const [customers = '210000', routes = '86000'] = process.argv.slice(2);
const LOOKUPS = 200_000;
const SERVICES = 850;
const HOSTS = 5000;
const MEGABYTE = 1024 * 1024;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

function heldBytes(): number {
  collect();
  const {heapUsed, external} = process.memoryUsage();
  return heapUsed + external;
}

function digestOf(index: number): string {
  return createHash('sha256').update(`key-${index}`).digest('hex');
}

function makeKey(index: number): Key {
  const digest = digestOf(index);
  const customer = `customer-${index}`;
  return {kind: 'key', id: keyIdOf(digest), customer, digest};
}

function makeRecords(): readonly ConfigurationRecord[] {
  const numbers = (count: number) => Array.from({length: count}, (_, i) => i);
  const customerCount = Number(customers);
  return [
    ...numbers(SERVICES).map(i => ({
      kind: 'service' as const,
      id: `svc-${i}`,
      floor: 1,
      objectiveSuccess: 0.999,
      objectiveLatencyMs: 1000,
    })),
    ...numbers(customerCount).map(i => ({
      kind: 'customer' as const,
      id: `customer-${i}`,
      name: `Công ty ${i}`,
      ratePerSecond: (i % 90) + 1.5,
      burst: 20,
    })),
    ...numbers(customerCount).map(makeKey),
    ...numbers(Number(routes)).map(i => ({
      kind: 'route' as const,
      id: `route-${i}`,
      host: `host-${i % HOSTS}.example`,
      path: `/r/${i}`,
      service: `svc-${i % SERVICES}`,
      access: 'key' as const,
      customers: [`customer-${i % customerCount}`],
      idempotent: 'by-method' as const,
      deadlineMs: 10_000,
    })),
  ];
}

/** Mean time of a lookup in microseconds. */
function timeOf(lookUp: (index: number) => unknown, count: number): number {
  const step = 7919;
  const startedAtMs = performance.now();
  let found = 0;
  Array.from({length: LOOKUPS}).forEach((_, n) => {
    if (lookUp((n * step) % count) !== undefined) found += 1;
  });
  if (found !== LOOKUPS) throw new Error(`found ${found} of ${LOOKUPS}`);
  return ((performance.now() - startedAtMs) * 1000) / LOOKUPS;
}

/** Apart from the measuring, so that no frame holds on to the records. */
function makeShards(): readonly Shard[] {
  const edit = {put: makeRecords(), removed: []};
  return editShards(EMPTY_STATE.shards, edit, () => '1-00000000');
}

function measurePacked() {
  const before = heldBytes();
  const startedAtMs = performance.now();
  const shards = makeShards();
  const tables = new PackedTables({revision: 1, changes: [], shards});
  const buildMs = performance.now() - startedAtMs;
  const megabytes = (heldBytes() - before) / MEGABYTE;
  const tablesAtMs = performance.now();
  new PackedTables({revision: 2, changes: [], shards});
  const rebuildMs = performance.now() - tablesAtMs;
  const count = Number(customers);
  const digests = Array.from({length: count}, (_, i) => digestOf(i));
  return {
    megabytes,
    recordMegabytes:
      shards.reduce((sum, shard) => sum + shard.records.byteLength, 0) /
      MEGABYTE,
    buildMs,
    rebuildMs,
    customerUs: timeOf(i => tables.customer(`customer-${i}`), count),
    keyUs: timeOf(i => tables.key(digests[i] ?? '', 0), count),
    routeUs: timeOf(
      i => tables.routes(`host-${i % HOSTS}.example`, `/r/${i}`)[0],
      Number(routes),
    ),
  };
}

function measureMap() {
  const before = heldBytes();
  const startedAtMs = performance.now();
  const byKey = new Map<string, ConfigurationRecord>();
  const byDigest = new Map<string, ConfigurationRecord>();
  const byPath = new Map<string, ConfigurationRecord>();
  makeRecords().forEach(record => {
    byKey.set(recordKey(record.kind, record.id), record);
    if (record.kind === 'key') byDigest.set(record.digest, record);
    if (record.kind === 'route') {
      byPath.set(`${record.host} ${record.path}`, record);
    }
  });
  const buildMs = performance.now() - startedAtMs;
  const megabytes = (heldBytes() - before) / MEGABYTE;
  const count = Number(customers);
  const digests = Array.from({length: count}, (_, i) => digestOf(i));
  return {
    megabytes,
    buildMs,
    customerUs: timeOf(i => byKey.get(`customer/customer-${i}`), count),
    keyUs: timeOf(i => byDigest.get(digests[i] ?? ''), count),
    routeUs: timeOf(
      i => byPath.get(`host-${i % HOSTS}.example /r/${i}`),
      Number(routes),
    ),
  };
}

const packed = measurePacked();
const map = measureMap();
process.stdout.write(`${JSON.stringify({packed, map}, undefined, 2)}\n`);
