/** Steps that send malformed bytes to daemons. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import PQueue from 'p-queue';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import {MeshFleet, testRoute} from '../support/mesh_fleet.js';
import {sendRawBytes} from '../support/raw_socket.js';
import type {World} from '../support/world.js';

const SEED = 20_261;
const SERVICE = 'pay';
const MAX_CONCURRENT_CONNECTIONS = 40;
/** Exceeds the time that any connection may stay open. */
const OBSERVATION_TIMEOUT_MS = 15_000;

interface FuzzWorld extends World {
  meshFleet?: MeshFleet;
  exchanges?: readonly Exchange[];
}

/** The bytes sent and received on one connection, and its duration. */
interface Exchange {
  readonly bytes: string;
  readonly text: string;
  readonly tookMs: number;
}

const word = fc.string({unit: 'binary', maxLength: 12});
const number = fc.oneof(fc.integer(), fc.double(), word);
const fields = fc.array(
  fc.tuple(
    fc.oneof(
      fc.constantFrom(...Object.values(NAMES)),
      fc.constantFrom('content-length', 'transfer-encoding', 'expect', 'host'),
      word,
    ),
    fc.oneof(number, fc.constantFrom('chunked', '100-continue', 'app.example')),
  ),
  {maxLength: 6},
);
const target = fc.oneof(
  word,
  fc.webPath(),
  fc.constantFrom('/open/%zz', '/open/../once/', 'http://[::1/open/', '*'),
);
const request = fc
  .tuple(fc.constantFrom('GET', 'POST', 'PUT', 'TRACE', 'x'), target, fields)
  .map(([method, path, list]) => {
    const lines = list.map(([name, value]) => `${name}: ${value}\r\n`);
    return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
  });
const bytes = fc.oneof(
  request,
  fc.tuple(request, word).map(([head, body]) => head + body),
  fc.string({unit: 'binary', maxLength: 200}),
);

Given(
  'a mesh daemon with an idle time of {int} ms',
  async function (this: FuzzWorld, idleMs: number) {
    this.meshFleet = new MeshFleet();
    await this.meshFleet.start([SERVICE], 4);
    this.meshFleet.configure({
      version: 1,
      routes: [
        testRoute({
          name: 'open',
          prefix: '/open/',
          isIdempotent: true,
          isPublic: true,
          targets: [{service: SERVICE, weight: 1}],
        }),
      ],
      customers: [],
      services: [{name: SERVICE, healthPath: '/health'}],
      limits: {
        maxBodyBytes: 1000,
        headerTimeoutMs: idleMs,
        idleTimeoutMs: idleMs,
      },
    });
  },
);

After(async function (this: FuzzWorld) {
  await this.meshFleet?.stop();
});

async function exchange(address: string, text: string): Promise<Exchange> {
  const startedAtMs = performance.now();
  const reply = await sendRawBytes(address, text, () => false, {
    timeoutMs: OBSERVATION_TIMEOUT_MS,
  });
  return {bytes: text, text: reply, tookMs: performance.now() - startedAtMs};
}

function callersAddress({meshFleet}: FuzzWorld): string {
  assert.ok(meshFleet, 'no mesh fleet');
  return meshFleet.vm(0).callers;
}

async function sendMalformedBytes(
  address: string,
  count: number,
): Promise<readonly Exchange[]> {
  const queue = new PQueue({concurrency: MAX_CONCURRENT_CONNECTIONS});
  const cases = fc.sample(bytes, {seed: SEED, numRuns: count});
  return queue.addAll(cases.map(text => () => exchange(address, text)));
}

When(
  '{int} connections send malformed bytes',
  async function (this: FuzzWorld, count: number) {
    this.exchanges = await sendMalformedBytes(callersAddress(this), count);
  },
);

When(
  '{int} connections send malformed bytes to daemon {string}',
  async function (this: FuzzWorld, count: number, id: string) {
    const address = this.fleet.daemon(id).addresses.callers;
    this.exchanges = await sendMalformedBytes(address, count);
  },
);

Then(
  'each is answered or closed within {int} ms',
  function (this: FuzzWorld, mostMs: number) {
    const exchanges = this.exchanges ?? [];
    assert.ok(exchanges.length > 0);
    const hung = exchanges.filter(
      ({text, tookMs}) => text === '' && tookMs > mostMs,
    );
    assert.deepEqual(hung, []);
  },
);

Then(
  'a valid request is still answered with {int}',
  async function (this: FuzzWorld, status: number) {
    const head = 'GET /open/ HTTP/1.1\r\nhost: app.example\r\n';
    const fields = `${NAMES.requestId}: r-1\r\nconnection: close\r\n\r\n`;
    const {text} = await exchange(callersAddress(this), head + fields);
    assert.match(text, new RegExp(`^HTTP/1.1 ${status} `));
  },
);
