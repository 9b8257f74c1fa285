/** Steps for requests that pass end to end through a mesh fleet. */
import assert from 'node:assert/strict';
import {request} from 'node:http';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {FleetConfiguration} from '../../src/mesh/model.js';
import {until} from '../support/fleet.js';
import {
  MeshFleet,
  testRoute,
  type BEHAVIOURS,
  type MeshVm,
} from '../support/mesh_fleet.js';
import type {World} from '../support/world.js';

export interface Answer {
  readonly id: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** State of a mesh scenario, kept beside the world. */
interface MeshState {
  readonly fleet: MeshFleet;
  answers: readonly Answer[];
  /** Requests that were sent and may still be open. */
  pending: readonly Promise<Answer | undefined>[];
  stops: readonly Promise<void>[];
}

const states = new WeakMap<World, MeshState>();
const DEADLINE_MS = 2000;
let nextId = 1;

export function stateOf(world: World): MeshState {
  const known = states.get(world);
  if (known) return known;
  const state = {fleet: new MeshFleet(), answers: [], pending: [], stops: []};
  states.set(world, state);
  return state;
}

After(async function (this: World) {
  await states.get(this)?.fleet.stop();
});

export const SERVICE = 'pay';
const targets = [{service: SERVICE, weight: 1}];

export function configuration(version: number): FleetConfiguration {
  return {
    version,
    routes: [
      testRoute({name: 'once', prefix: '/once/', isIdempotent: false, targets}),
      testRoute({
        name: 'repeatable',
        prefix: '/repeatable/',
        isIdempotent: true,
        targets,
      }),
      testRoute({
        name: 'long',
        prefix: '/long/',
        isIdempotent: false,
        timeoutMs: 8000,
        objectiveMs: 4000,
        targets,
      }),
      testRoute({
        name: 'open',
        prefix: '/open/',
        isIdempotent: true,
        isPublic: true,
        targets,
      }),
    ],
    customers: [
      {name: 'big', keys: ['key-big'], ratePerS: 0, burst: 0},
      {name: 'small', keys: ['key-small'], ratePerS: 1, burst: 6},
    ],
    services: [
      {name: SERVICE, healthPath: '/health', warmupMs: 0, coldPerS: 0},
    ],
    limits: {
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 5000,
      idleTimeoutMs: 5000,
    },
  };
}

interface SendOptions {
  readonly path: string;
  readonly key?: string;
  readonly disconnectAfterMs?: number;
  readonly body?: Buffer;
  readonly deadlineMs?: number;
}

/** Sends a request; resolves to its response, or undefined if disconnected. */
export function send(
  vm: MeshVm,
  options: SendOptions,
): Promise<Answer | undefined> {
  const {path, key, disconnectAfterMs, body = 'body'} = options;
  const {deadlineMs = DEADLINE_MS} = options;
  const id = `request-${nextId++}`;
  const [host, port] = vm.callers.split(':');
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path,
      agent: false,
      method: 'POST',
      headers: {
        host: 'app.example',
        [NAMES.requestId]: id,
        [NAMES.deadline]: String(deadlineMs),
        ...(key ? {[NAMES.key]: key} : {}),
      },
    });
    req.on('response', res => {
      const {statusCode: status = 0, headers} = res;
      let text = '';
      res.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
      res.on('end', () => resolve({id, status, headers, body: text}));
    });
    req.on('error', err =>
      disconnectAfterMs === undefined ? reject(err) : resolve(undefined),
    );
    req.end(body);
    if (disconnectAfterMs !== undefined) {
      setTimeout(() => req.destroy(), disconnectAfterMs);
    }
  });
}

/** Sends requests to all VMs in turn, three at a time. */
async function sendMany(
  world: World,
  count: number,
  options: SendOptions,
): Promise<void> {
  const {fleet} = stateOf(world);
  const numbers = Array.from({length: count}, (_, index) => index);
  const answers: Answer[] = [];
  const sender = async () => {
    for (let index = numbers.shift(); index !== undefined;) {
      const answer = await send(fleet.vm(index % fleet.vms.length), options);
      if (answer) answers.push(answer);
      index = numbers.shift();
    }
  };
  await Promise.all([sender(), sender(), sender()]);
  stateOf(world).answers = answers;
}

function countRuns(world: World, id: string): number {
  const backends = stateOf(world).fleet.vms.map(({backend}) => backend);
  return backends.flatMap(({seen}) => seen).filter(s => s === id).length;
}

Given(
  'a mesh fleet of {int} VMs with {int} slots each',
  async function (this: World, count: number, slots: number) {
    const {fleet} = stateOf(this);
    await fleet.start(Array<string>(count).fill(SERVICE), slots);
    fleet.configure(configuration(1));
  },
);

Given(
  /^every backend server (.+)$/,
  function (this: World, behaviour: keyof typeof BEHAVIOURS) {
    stateOf(this).fleet.vms.forEach(({backend}) => {
      backend.behaviour = behaviour;
    });
  },
);

Given(
  /^one backend server (.+)$/,
  function (this: World, behaviour: keyof typeof BEHAVIOURS) {
    stateOf(this).fleet.vm(1).backend.behaviour = behaviour;
  },
);

Given(
  'the backend server of VM {int} announces its shutdown',
  function (this: World, index: number) {
    const {id, daemon} = stateOf(this).fleet.vm(index);
    daemon.gate.markLeaving(`instance-${id}`);
  },
);

When(
  'callers send {int} requests to {string}, spread over all VMs',
  async function (this: World, count: number, path: string) {
    await sendMany(this, count, {path, key: 'key-big'});
  },
);

When(
  'a caller with the key {string} sends {int} requests, spread over all VMs',
  async function (this: World, key: string, count: number) {
    await sendMany(this, count, {path: '/once/', key});
  },
);

When(
  'a caller sends a request to {string}',
  async function (this: World, path: string) {
    await sendMany(this, 1, {path, key: 'key-big'});
  },
);

When(
  'a caller has sent {int} request(s) to {string} at VM {int} with a deadline of {int} ms',
  async function (
    this: World,
    count: number,
    path: string,
    index: number,
    deadlineMs: number,
  ) {
    const state = stateOf(this);
    const vm = state.fleet.vm(index);
    const options = {path, key: 'key-big', deadlineMs};
    const sent = Array.from({length: count}, () => send(vm, options));
    state.pending = [...state.pending, ...sent];
    const events = () =>
      state.fleet.lines.filter(({event}) => event === 'sent').length;
    const before = state.pending.length;
    const slots = state.fleet.vms.length;
    await until(
      'the requests hold slots or wait',
      () => events() >= Math.min(before, slots),
      deadlineMs,
    );
  },
);

When(
  'the instance of VM {int} calls {string} through its daemon',
  async function (this: World, index: number, path: string) {
    const state = stateOf(this);
    const answer = await send(state.fleet.vm(index), {path});
    state.answers = answer ? [answer] : [];
  },
);

When(
  /^the daemons? of VMs? ([\d,]+) begins? a planned stop$/,
  function (this: World, list: string) {
    const state = stateOf(this);
    const daemons = list.split(',').map(index => state.fleet.vm(Number(index)));
    state.stops = daemons.map(({daemon}) => daemon.stop());
  },
);

When(
  'a caller sends a request to {string} at VM {int} with a deadline of {int} ms',
  async function (
    this: World,
    path: string,
    index: number,
    deadlineMs: number,
  ) {
    const state = stateOf(this);
    const options = {path, key: 'key-big', deadlineMs};
    const answer = await send(state.fleet.vm(index), options);
    state.answers = answer ? [answer] : [];
  },
);

When(
  'the stops have ended and all requests with them',
  async function (this: World) {
    const state = stateOf(this);
    await Promise.all(state.stops);
    const answers = await Promise.all(state.pending);
    state.answers = answers.filter(answer => answer !== undefined);
  },
);

Then(
  /^(\d+) (?:was|were) answered with (\d+), of which (\d+) ran$/,
  function (this: World, count: number, status: number, ran: number) {
    const {answers} = stateOf(this);
    const matching = answers.filter(answer => answer.status === Number(status));
    const texts = JSON.stringify(answers.map(({status: got}) => got));
    assert.equal(matching.length, Number(count), texts);
    const runs = matching.filter(({id}) => countRuns(this, id) > 0);
    assert.equal(runs.length, Number(ran));
  },
);

Then(
  'the response came with the reason {string}',
  function (this: World, reason: string) {
    const {fleet, answers} = stateOf(this);
    const [answer] = answers;
    const line = fleet.lines.find(
      ({event, id}) => event === 'not-served' && id === answer?.id,
    );
    assert.equal(line?.reason, reason);
  },
);

When(
  'a caller sends a body of {int} bytes to {string}',
  async function (this: World, bytes: number, path: string) {
    await sendMany(this, 1, {path, key: 'key-big', body: Buffer.alloc(bytes)});
  },
);

When(
  'a caller sends a request to {string} with the key {string}',
  async function (this: World, path: string, key: string) {
    await sendMany(this, 1, {path, key});
  },
);

When(
  'a caller sends a request to {string} and disconnects after {int} ms',
  async function (this: World, path: string, disconnectAfterMs: number) {
    const {fleet} = stateOf(this);
    await send(fleet.vm(0), {
      path,
      key: 'key-big',
      disconnectAfterMs,
    });
  },
);

When(
  'version {int} without {string} is delivered to VM {int} only',
  function (this: World, version: number, prefix: string, index: number) {
    const all = configuration(version);
    const routes = all.routes.filter(route => route.prefix !== prefix);
    const {configurationTracker: tracker} =
      stateOf(this).fleet.vm(index).daemon;
    tracker.applyIfNewer({...all, routes}, 'test');
  },
);

Then(
  /^(?:the response has|all responses have) status (\d+)$/,
  function (this: World, status: string) {
    const {answers} = stateOf(this);
    assert.ok(answers.length > 0);
    assert.deepEqual(
      answers.filter(answer => answer.status !== Number(status)),
      [],
    );
  },
);

Then('every request ran exactly once', function (this: World) {
  stateOf(this).answers.forEach(({id}) => assert.equal(countRuns(this, id), 1));
});

Then('the request ran {int} times', function (this: World, runs: number) {
  const [answer] = stateOf(this).answers;
  assert.equal(countRuns(this, answer?.id ?? ''), runs);
});

Then(
  'no request ran more than {int} times',
  function (this: World, max: number) {
    const {answers} = stateOf(this);
    answers.forEach(({id}) => assert.ok(countRuns(this, id) <= max));
  },
);

Then('the response has a Retry-After time', function (this: World) {
  const [answer] = stateOf(this).answers;
  assert.ok(Number(answer?.headers['retry-after']) > 0);
});

Then(
  'within {int} ms no request is running at any backend server',
  async function (this: World, withinMs: number) {
    const {fleet} = stateOf(this);
    const isIdle = () =>
      fleet.vms.every(({backend}) => backend.running.size === 0);
    await until('no request is running', isIdle, withinMs);
  },
);

Then(
  'the backend server of VM {int} received no request',
  function (this: World, index: number) {
    assert.deepEqual(stateOf(this).fleet.vm(index).backend.seen, []);
  },
);

Then('at most {int} of them ran', function (this: World, max: number) {
  const {fleet} = stateOf(this);
  const ran = fleet.vms.flatMap(({backend}) => backend.seen).length;
  assert.ok(ran > 0 && ran <= max, `${ran} requests ran`);
});

Then(
  'the others were refused with status {int} and a Retry-After time',
  function (this: World, status: number) {
    const refused = stateOf(this).answers.filter(a => a.status !== 200);
    assert.ok(refused.length > 0);
    refused.forEach(({status: got, headers}) => {
      assert.equal(got, status);
      assert.ok(Number(headers['retry-after']) > 0);
    });
  },
);

Then(
  'every VM refuses {string} with {int} within {int} ms',
  async function (this: World, path: string, status: number, withinMs: number) {
    const {fleet} = stateOf(this);
    const isRefused = async () => {
      const options = {path, key: 'key-big'};
      const answers = await Promise.all(fleet.vms.map(vm => send(vm, options)));
      return answers.every(answer => answer?.status === status);
    };
    await until(`${path} is refused`, isRefused, withinMs);
  },
);

Then(
  'delivering version {int} to VM {int} again changes nothing',
  function (this: World, version: number, index: number) {
    const {configurationTracker: tracker} =
      stateOf(this).fleet.vm(index).daemon;
    const previousVersion = tracker.version;
    tracker.applyIfNewer(configuration(version), 'test');
    assert.equal(tracker.version, previousVersion);
  },
);

Given('the reader of the log is paused', function (this: World) {
  stateOf(this).fleet.pauseLogReader();
});

When('the reader of the log resumes', function (this: World) {
  stateOf(this).fleet.resumeLogReader();
});

Then(
  'each is logged with its id, its status and the reason {string}',
  function (this: World, reason: string) {
    const {fleet, answers} = stateOf(this);
    assert.ok(answers.length > 0);
    answers.forEach(({id, status}) => {
      const line = fleet.lines.find(
        ({event, id: of}) => event === 'not-served' && of === id,
      );
      assert.equal(line?.status, status);
      const expected = status === 503 ? [reason, ...UNSENT_REASONS] : [reason];
      assert.ok(expected.includes(String(line?.reason)), `${line?.reason}`);
    });
    const reasons = fleet.lines
      .filter(({event}) => event === 'not-served')
      .map(line => line.reason);
    assert.ok(reasons.includes(reason));
  },
);

/** Reasons of requests that were sent to no instance. */
const UNSENT_REASONS = ['busy', 'not-answering'];

Then(
  'those that were sent to no instance have the reason {string} or {string}',
  function (this: World, full: string, doubtful: string) {
    const reasons = [full, doubtful];
    const {fleet, answers} = stateOf(this);
    const sent = new Set(
      fleet.lines.filter(({event}) => event === 'sent').map(line => line.id),
    );
    const unsent = answers.filter(({id}) => !sent.has(id));
    unsent.forEach(({id, status}) => {
      const line = fleet.lines.find(
        ({event, id: of}) => event === 'not-served' && of === id,
      );
      assert.equal(status, 503);
      assert.ok(reasons.includes(String(line?.reason)), `${line?.reason}`);
    });
  },
);
