/** Steps for customers' keys: issuing, rotating, withdrawing, detecting. */
import {After, Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {until} from '../support/fleet.js';
import {KeyStream} from '../support/key_stream.js';
import {runsOfAll} from '../support/runs.js';
import type {CallerAnswer, World} from '../support/world.js';

interface KeyWorld extends World {
  stream?: KeyStream;
  withdrawnAtMs: number;
  openRequest?: Promise<CallerAnswer>;
  oldKey: string;
}

const OBSERVE_MS = 3000;
const STREAM_START_MS = 15_000;

function keyOf(world: World, customer: string): string {
  const key = world.keys.get(customer);
  assert.ok(key, `no key of ${customer}`);
  return key;
}

After(async function (this: KeyWorld) {
  await this.stream?.stop();
});

Given(
  'requests of {string} stream over open connections to all daemons',
  async function (this: KeyWorld, customer: string) {
    const daemons = [...this.fleet.daemons.values()];
    const stream = new KeyStream(
      keyOf(this, customer),
      new Map(daemons.map(({id, addresses}) => [id, addresses.callers])),
    );
    this.stream = stream;
    await until(
      'requests served on every daemon',
      () =>
        daemons.every(({id}) =>
          stream.requests.some(r => r.daemon === id && r.status === 200),
        ),
      STREAM_START_MS,
    );
  },
);

When(
  'the key of {string} is withdrawn through daemon {string}',
  async function (this: KeyWorld, customer: string, daemon: string) {
    const id = this.keyIds.get(customer) ?? '';
    const args = ['key', 'withdraw', id];
    const result = await this.fleet.operate(daemon, args);
    assert.equal(result.code, 0, result.stderr);
    this.withdrawnAtMs = performance.now();
  },
);

/** Returns the requests served after the bound, up to OBSERVE_MS past it. */
async function servedAfter(world: KeyWorld, boundMs: number) {
  const fromMs = world.withdrawnAtMs + boundMs;
  await sleep(Math.max(0, fromMs - performance.now()) + OBSERVE_MS);
  const requests = world.stream?.requests ?? [];
  const served = requests.filter(r => r.status === 200);
  const lastMs = Math.max(...served.map(r => r.sentAtMs)) - world.withdrawnAtMs;
  process.stdout.write(`\nlast served ${Math.round(lastMs)} ms after\n`);
  return served.filter(r => r.endedAtMs > fromMs && r.sentAtMs > fromMs);
}

Then(
  '{int} s later no request of the stream is served on any daemon',
  async function (this: KeyWorld, seconds: number) {
    const served = await servedAfter(this, seconds * 1000);
    assert.deepEqual(served, []);
    const isStillSending = this.stream?.requests.some(
      r => r.sentAtMs > this.withdrawnAtMs + seconds * 1000,
    );
    assert.ok(isStillSending, 'the stream ended early');
  },
);

Then(
  '{int} s later requests of the stream are still served on daemon {string}',
  async function (this: KeyWorld, seconds: number, daemon: string) {
    const served = await servedAfter(this, seconds * 1000);
    assert.ok(served.some(r => r.daemon === daemon));
  },
);

Then(
  'the last 10 requests of the stream are refused as {int} with ran {string}',
  function (this: KeyWorld, status: number, ran: string) {
    const last = this.stream?.requests.slice(-10) ?? [];
    assert.ok(last.every(r => r.status === status && r.ran === ran));
  },
);

Then(
  'the instances ran as many requests as were served',
  async function (this: KeyWorld) {
    await this.stream?.stop();
    const served = this.stream?.requests.filter(r => r.status === 200) ?? [];
    assert.equal((await runsOfAll(this)).length, served.length);
  },
);

Given(
  '{string} has sent a request of {int} ms to daemon {string}',
  async function (
    this: KeyWorld,
    customer: string,
    workMs: number,
    daemon: string,
  ) {
    const key = keyOf(this, customer);
    const headers = {'x-api-key': key, 'x-work-ms': String(workMs)};
    this.openRequest = this.request(daemon, '/ledger/slow', {headers});
    const started = async () => (await runsOfAll(this)).length > 0;
    await until('the request runs', started, STREAM_START_MS);
  },
);

Then(
  'that request gets status {int}',
  async function (this: KeyWorld, status: number) {
    assert.equal((await this.openRequest)?.status, status);
  },
);

When('daemon {string} is paused', function (this: World, id: string) {
  this.fleet.daemon(id).process.signal('SIGSTOP');
});

When('daemon {string} resumes', function (this: KeyWorld, id: string) {
  this.withdrawnAtMs = performance.now();
  this.fleet.daemon(id).process.signal('SIGCONT');
});

Given(
  'all instances record the bytes that they receive',
  async function (this: World) {
    await Promise.all(
      [...this.fleet.instances.values()].map(({address}) =>
        fetch(`http://${address}/keep-bytes`),
      ),
    );
  },
);

When(
  '{string} sends its key in every header form to {string} on all daemons',
  async function (this: World, customer: string, path: string) {
    const key = keyOf(this, customer);
    const ways: readonly Readonly<Record<string, string>>[] = [
      {'x-api-key': key},
      {authorization: `Bearer ${key}`},
      {'X-API-KEY': key, authorization: `Bearer ${key}`},
      {'x-api-key': key, connection: 'keep-alive, x-api-key'},
    ];
    const daemons = [...this.fleet.daemons.keys()];
    this.answers = await Promise.all(
      daemons.flatMap(daemon =>
        ways.map(headers => this.request(daemon, path, {headers})),
      ),
    );
  },
);

Then('every answer is {int}', function (this: World, status: number) {
  assert.ok(this.answers.length > 0, 'no request was sent');
  this.answers.forEach(a => assert.equal(a.status, status, a.text));
});

/** Searches for the key without the prefix that all keys share. */
async function isSeen(address: string, key: string): Promise<boolean> {
  const hex = Buffer.from(key.slice(3)).toString('hex');
  const res = await fetch(`http://${address}/seen?hex=${hex}`);
  return ((await res.json()) as {seen: boolean}).seen;
}

Then(
  'no instance received a byte of the key of {string}',
  async function (this: World, customer: string) {
    const key = keyOf(this, customer);
    const instances = [...this.fleet.instances.values()];
    for (const {address} of instances) {
      assert.equal(await isSeen(address, key), false);
      await fetch(`http://${address}/`, {headers: {'x-api-key': key}});
      assert.equal(
        await isSeen(address, key),
        true,
        'the check does not detect a key that was sent',
      );
    }
  },
);

When(
  '{string} requests {string} from daemon {string} as customer {string}',
  async function (
    this: World,
    customer: string,
    path: string,
    daemon: string,
    claimed: string,
  ) {
    const key = keyOf(this, customer);
    const headers = {'x-api-key': key, 'x-customer': claimed};
    this.answers = [await this.request(daemon, path, {headers})];
  },
);

Then(
  'every run of the instances is of {string}',
  async function (this: World, customer: string) {
    const customers = (await runsOfAll(this)).map(run => run.customer);
    assert.deepEqual(new Set(customers), new Set([customer]));
  },
);

Given(
  'the key of {string} is kept as the old key',
  function (this: KeyWorld, customer: string) {
    this.oldKey = keyOf(this, customer);
  },
);

When(
  '{string} requests {string} from daemon {string} with both keys',
  async function (
    this: KeyWorld,
    customer: string,
    path: string,
    daemon: string,
  ) {
    const keys = [this.oldKey, keyOf(this, customer)];
    assert.notEqual(keys[0], keys[1]);
    this.answers = await Promise.all(
      keys.map(key =>
        this.request(daemon, path, {headers: {'x-api-key': key}}),
      ),
    );
  },
);

Given(
  'a key for {string} that expires in {int} s',
  async function (this: World, customer: string, seconds: number) {
    const expires = new Date(Date.now() + seconds * 1000).toISOString();
    const args = ['key', 'issue', customer, '--expires', expires];
    const result = await this.fleet.operate('d1', args);
    assert.equal(result.code, 0, result.stderr);
    const {key} = JSON.parse(result.stdout) as {key: string};
    this.keys.set(customer, key);
  },
);
