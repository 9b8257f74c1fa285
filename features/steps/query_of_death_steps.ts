/** Steps for requests that end the instances that run them. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Given, Then, When} from '@cucumber/cucumber';
import {WebSocketServer} from 'ws';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {encodeFrame, PEER_PATH} from '../../src/mesh/peers/frames.js';
import {Peers} from '../../src/mesh/peers/peers.js';
import {
  fingerprintOf,
  type RequestContent,
} from '../../src/mesh/router/fingerprint.js';
import {
  MAX_AGE_MS,
  MAX_ENDS,
  MAX_RECORDS,
  type FingerprintRecord,
} from '../../src/mesh/router/query_of_death.js';
import {EvidenceFleet} from '../support/evidence_fleet.js';
import {until} from '../support/fleet.js';
import type {World} from '../support/world.js';
import {send, stateOf} from './mesh_path_steps.js';

interface EvidenceState {
  readonly fleet: EvidenceFleet;
  readonly besides: string[];
  nextInstance: number;
}

interface SentRequest {
  readonly status: number | undefined;
  readonly tookMs: number;
}

const states = new WeakMap<object, EvidenceState>();
const sentRequests = new WeakMap<object, readonly SentRequest[]>();
/** Time between two events. */
const STEP_MS = 2000;
const SHORTLY_MS = 200;

function evidenceOf(world: object): EvidenceState {
  const known = states.get(world);
  const state = known ?? {
    fleet: new EvidenceFleet(),
    besides: [],
    nextInstance: 0,
  };
  states.set(world, state);
  return state;
}

Given(
  'the backend servers end when they get a request to {string}',
  function (this: World, path: string) {
    stateOf(this).fleet.vms.forEach(({backend}) => {
      backend.endsAtPath = path;
    });
  },
);

When(
  'a caller sends a request to {string} {int} times, one after the other',
  async function (this: World, path: string, count: number) {
    const {fleet} = stateOf(this);
    const sent: SentRequest[] = [];
    for (let index = 0; index < count; index += 1) {
      const startedAtMs = performance.now();
      const vm = fleet.vm(index % fleet.vms.length);
      const answer = await send(vm, {path, key: 'key-big'});
      const tookMs = performance.now() - startedAtMs;
      sent.push({status: answer?.status, tookMs});
      // The other daemons hear of it within a second.
      await new Promise(resolve => setTimeout(resolve, SHORTLY_MS));
    }
    sentRequests.set(this, sent);
  },
);

Then('{int} backend servers have ended', function (this: World, count: number) {
  const {vms} = stateOf(this).fleet;
  assert.equal(vms.filter(({backend}) => backend.hasEnded).length, count);
});

Then(
  'the last {int} were refused with 503 as not run, within {int} ms',
  function (this: World, count: number, withinMs: number) {
    const last = (sentRequests.get(this) ?? []).slice(-count);
    const statuses = last.map(({status}) => status);
    assert.deepEqual(statuses, Array<number>(count).fill(503));
    const slowestMs = Math.max(...last.map(({tookMs}) => tookMs));
    assert.ok(slowestMs <= withinMs, `${slowestMs} ms`);
    const {lines} = stateOf(this).fleet;
    const refused = lines.filter(({reason}) => reason === 'quarantined');
    assert.ok(refused.length >= count);
    assert.ok(refused.every(({ran}) => ran === 'no'));
  },
);

Then(
  'requests to {string} are served on every VM',
  async function (this: World, path: string) {
    const {vms} = stateOf(this).fleet;
    const answers = await Promise.all(
      vms.map(vm => send(vm, {path, key: 'key-big'})),
    );
    const statuses = answers.map(answer => answer?.status);
    assert.deepEqual(
      statuses,
      vms.map(() => 200),
    );
  },
);

function addDaemons(world: object, count: number, isConnected: boolean): void {
  const {fleet} = evidenceOf(world);
  fleet.isConnected = isConnected;
  for (let index = 0; index < count; index += 1) fleet.add();
}

Given(/^(\d+) daemons? that shares? evidence$/, function (count: string) {
  addDaemons(this, Number(count), true);
});

Given('{int} daemons that share no evidence', function (count: number) {
  addDaemons(this, count, false);
});

When('a daemon joins', function () {
  evidenceOf(this).fleet.add();
});

When('the daemons exchange what they know', function () {
  evidenceOf(this).fleet.exchange();
});

/** An instance ends under a daemon, with the requests that it runs. */
function endInstance(
  world: object,
  index: number,
  fingerprints: readonly string[],
): void {
  const state = evidenceOf(world);
  const {fleet} = state;
  const instance = `i-${state.nextInstance}`;
  state.nextInstance += 1;
  fingerprints.forEach(fingerprint => {
    fleet.guard(index).recordEnd(fingerprint, instance, 'id', fleet.nowMs);
  });
}

function indexesIn(text: string): readonly number[] {
  return (text.match(/\d+/g) ?? []).map(Number);
}

When(
  /^"(\w+)" ends an instance under daemon ([\d, and]+?)(, beside different requests)?$/,
  function (fingerprint: string, daemons: string, isBeside?: string) {
    const {fleet, besides} = evidenceOf(this);
    indexesIn(daemons).forEach(index => {
      const beside = isBeside ? [`beside-${index}-a`, `beside-${index}-b`] : [];
      besides.push(...beside);
      endInstance(this, index, [fingerprint, ...beside]);
      fleet.nowMs += STEP_MS;
    });
  },
);

When(
  '{string} ends an instance under daemon {int}, {int} s later',
  function (fingerprint: string, index: number, laterS: number) {
    evidenceOf(this).fleet.nowMs += laterS * 1000;
    endInstance(this, index, [fingerprint]);
  },
);

When(
  '{string} ends an instance {int} times',
  function (fingerprint: string, count: number) {
    const {fleet} = evidenceOf(this);
    for (let end = 0; end < count; end += 1) {
      if (end > 0) fleet.nowMs += STEP_MS;
      endInstance(this, end % fleet.guards.length, [fingerprint]);
    }
  },
);

Given(
  '{string} was served under daemon {int} within the last second',
  function (fingerprint: string, index: number) {
    const {fleet} = evidenceOf(this);
    fleet.guard(index).recordSuccess(fingerprint, fleet.nowMs - 500);
  },
);

When(
  '{string} is served under daemon {int}',
  function (fingerprint: string, index: number) {
    const {fleet} = evidenceOf(this);
    fleet.guard(index).recordSuccess(fingerprint, fleet.nowMs);
  },
);

When(
  '{int} instances that run {string} are killed under daemon {int} and {int}',
  function (count: number, fingerprint: string, a: number, b: number) {
    for (let kill = 0; kill < count; kill += 1) {
      endInstance(this, kill % 2 === 0 ? a : b, [fingerprint]);
    }
  },
);

When('{int} different requests each end an instance', function (count: number) {
  for (let request = 0; request < count; request += 1) {
    endInstance(this, 0, [`request-${request}`]);
  }
});

function verdictsOf(world: object, fingerprint: string): readonly string[] {
  const {fleet} = evidenceOf(world);
  return fleet.guards.map(guard => guard.check(fingerprint, fleet.nowMs).kind);
}

function assertAll(world: object, fingerprint: string, verdict: string): void {
  const verdicts = verdictsOf(world, fingerprint);
  assert.deepEqual(
    verdicts,
    verdicts.map(() => verdict),
  );
}

Then('{string} is refused on all daemons', function (fingerprint: string) {
  assertAll(this, fingerprint, 'quarantined');
});

Then('{string} is allowed on all daemons', function (fingerprint: string) {
  assertAll(this, fingerprint, 'allowed');
});

Then('what ran beside it is allowed on all daemons', function () {
  const {besides} = evidenceOf(this);
  assert.ok(besides.length > 0);
  besides.forEach(beside => assertAll(this, beside, 'allowed'));
});

Then(
  '{string} is refused on all daemons after {int} s',
  function (fingerprint: string, afterS: number) {
    const {fleet} = evidenceOf(this);
    const endedAtMs = fleet.nowMs;
    fleet.nowMs = endedAtMs + afterS * 1000;
    assertAll(this, fingerprint, 'quarantined');
    fleet.nowMs = endedAtMs;
  },
);

Then(
  'after {int} s one request is let in, and no other on any daemon',
  function (afterS: number) {
    evidenceOf(this).fleet.nowMs += afterS * 1000;
    const [first, ...others] = verdictsOf(this, 'deadly');
    assert.equal(first, 'allowed');
    assert.deepEqual(
      others,
      others.map(() => 'quarantined'),
    );
    assertAll(this, 'deadly', 'quarantined');
  },
);

Then('the daemon remembers at most {int} of them', function (most: number) {
  const {fleet} = evidenceOf(this);
  assert.equal(fleet.guard(0).records(fleet.nowMs).length, most);
});

const CONTENT: RequestContent = {
  route: 'pay',
  customer: 'da-lat',
  method: 'POST',
  host: 'app.example',
  path: '/once/1?page=2',
  body: Buffer.from('body'),
};

Then('requests with the same content have the same fingerprint', () => {
  const body = Buffer.from('body');
  assert.equal(fingerprintOf({...CONTENT, body}), fingerprintOf(CONTENT));
});

Then(
  "requests that differ in the customer, the path, the query, the method or the body don't",
  () => {
    const others: readonly Partial<RequestContent>[] = [
      {customer: 'hue'},
      {customer: undefined},
      {path: '/once/2?page=2'},
      {path: '/once/1?page=3'},
      {method: 'PUT'},
      {body: Buffer.from('other')},
      {body: Buffer.alloc(0)},
    ];
    const fingerprints = [{}, ...others].map(other =>
      fingerprintOf({...CONTENT, ...other}),
    );
    assert.equal(new Set(fingerprints).size, fingerprints.length);
  },
);

function fingerprintOfBody(body: Buffer): string {
  return fingerprintOf({...CONTENT, body});
}

Then(
  'bodies of {int} bytes that differ in the first or last byte have different fingerprints',
  (size: number) => {
    const bodies = [undefined, 0, size - 1].map(changed => {
      const body = Buffer.alloc(size);
      if (changed !== undefined) body[changed] = 1;
      return body;
    });
    const fingerprints = new Set(bodies.map(fingerprintOfBody));
    assert.equal(fingerprints.size, bodies.length);
  },
);

Then('a body of {int} bytes has another one', (size: number) => {
  const [longer, shorter] = [size, size - 1].map(length =>
    fingerprintOfBody(Buffer.alloc(length)),
  );
  assert.notEqual(longer, shorter);
});

const RECORD: FingerprintRecord = {
  fingerprint: fingerprintOf(CONTENT),
  ends: [{instance: 'i-1', ageMs: 10}],
};

function withAge(ageMs: number): FingerprintRecord {
  return {...RECORD, ends: [{instance: 'i-1', ageMs}]};
}

const FAULTY_RECORDS: Readonly<Record<string, readonly FingerprintRecord[]>> = {
  'a short fingerprint': [{...RECORD, fingerprint: 'short'}],
  'a negative age': [withAge(-1)],
  'an age out of bounds': [withAge(MAX_AGE_MS + 1)],
  'too many ends': [
    {...RECORD, ends: Array(MAX_ENDS + 1).fill(RECORD.ends[0])},
  ],
  'too many records': Array(MAX_RECORDS + 1).fill(RECORD),
};

/** What a daemon made of the evidence of a peer. */
interface Reception {
  readonly events: string[];
  readonly received: FingerprintRecord[];
  readonly stop: () => void;
  isConnected: boolean;
}

const receptions = new WeakMap<object, Reception>();

Given(
  /^a daemon that gets evidence with (.+) from a peer$/,
  async function (fault: string) {
    const records = FAULTY_RECORDS[fault];
    assert.ok(records);
    const server = new WebSocketServer({
      host: '127.0.0.1',
      port: 0,
      path: PEER_PATH,
    });
    await once(server, 'listening');
    const events: string[] = [];
    const received: FingerprintRecord[] = [];
    const record = (event: string) => void events.push(event);
    const {port} = server.address() as {readonly port: number};
    const self = {id: 'vm-0', address: '127.0.0.1:9', failureDomain: 'a'};
    const peers = new Peers({
      metrics: new MeshMetrics(),
      self: () => self,
      log: {step: record, failure: record, belief: record},
      onStatus: () => undefined,
      onFingerprints: valid => received.push(...valid),
    });
    const stop = () => {
      peers.stop();
      server.close();
    };
    const reception = {events, received, stop, isConnected: true};
    receptions.set(this, reception);
    server.on('connection', socket => {
      socket.on('close', () => (reception.isConnected = false));
      socket.send(encodeFrame({kind: 'fingerprints', records}));
      socket.send(encodeFrame({kind: 'fingerprints', records: [RECORD]}));
    });
    peers.upsert({...self, id: 'vm-1', address: `127.0.0.1:${port}`});
    await until('valid evidence', () => received.length > 0, 2000);
  },
);

Then('it refuses the evidence with one log line', function () {
  const reception = receptions.get(this);
  const faults = reception?.events.filter(e => e === 'peer-frame-invalid');
  assert.equal(faults?.length, 1);
  assert.deepEqual(reception?.received, [RECORD]);
});

Then('it keeps the connection', function () {
  const reception = receptions.get(this);
  assert.equal(reception?.isConnected, true);
  reception.stop();
});
