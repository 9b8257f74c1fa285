/** Steps for daemons that are late themselves. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  BackendClient,
  UNLIMITED_RESPONSES,
  type ProbeResult,
} from '../../src/mesh/gate/backend_client.js';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {
  GateClient,
  Outcome,
  Reservation,
  Work,
} from '../../src/mesh/gate/work.js';
import {until} from '../support/fleet.js';
import {blockFor, LateEventLoop} from '../support/late_event_loop.js';
import {
  MeshBackend,
  type MeshFleet,
  type MeshVm,
} from '../support/mesh_fleet.js';
import type {World} from '../support/world.js';
import {configuration, send, SERVICE, stateOf} from './mesh_path_steps.js';

/** More than it takes until a connection is being opened. */
const TICKS = 20;

/** What a caller received on a connection. */
interface CallerConnection {
  readonly socket: Socket;
  text: string;
}

const connections = new WeakMap<World, CallerConnection>();
const ANSWER_MS = 3000;

const probes = new WeakMap<World, ProbeResult>();
const outcomes = new WeakMap<World, Outcome>();

const ID = 'direct';
const WORK: Work = {
  requestId: ID,
  method: 'GET',
  path: '/once/',
  headers: ['host', 'app.example', NAMES.requestId, ID],
  body: Buffer.alloc(0),
  leftMs: 60_000,
  isRepeat: false,
};

/** Reserves a slot at a gate, as a router does. */
async function reserveAt(gate: GateClient): Promise<Reservation> {
  const slot = {
    requestId: ID,
    service: SERVICE,
    route: 'once',
    priority: 1,
    objectiveMs: 400,
    leftMs: 0,
    assurance: 'none',
  } as const;
  const result = await gate.reserve(slot, new AbortController().signal);
  assert.ok(result.kind === 'reserved', JSON.stringify(result));
  return result;
}

/** The gate of a VM, as the router of another one uses it. */
function remoteGate(fleet: MeshFleet, from: number, to: number): GateClient {
  const {id} = fleet.vm(to);
  const {links} = fleet.vm(from).daemon.peers;
  const link = links.find(({vm}) => vm.id === id);
  assert.ok(link);
  return link;
}

/** Keeps the process busy before it reads from any socket again. */
function blockAfterTicks(ticks: number, ms: number): void {
  if (ticks === 0) return blockFor(ms);
  process.nextTick(() => blockAfterTicks(ticks - 1, ms));
}

When(
  'VM {int} runs a request and is then busy for {int} ms',
  async function (this: World, index: number, busyMs: number) {
    const reservation = await reserveAt(
      stateOf(this).fleet.vm(index).daemon.gate,
    );
    const outcome = reservation.run(WORK, new AbortController().signal);
    blockAfterTicks(TICKS, busyMs);
    outcomes.set(this, await outcome);
  },
);

When(
  'VM {int} sends a request with {int} ms left to the gate of VM {int}, which is then busy for {int} ms',
  async function (
    this: World,
    from: number,
    leftMs: number,
    to: number,
    busyMs: number,
  ) {
    const gate = remoteGate(stateOf(this).fleet, from, to);
    const reservation = await reserveAt(gate);
    const work = {...WORK, leftMs};
    const outcome = reservation.run(work, new AbortController().signal);
    blockAfterTicks(TICKS, busyMs);
    outcomes.set(this, await outcome);
  },
);

When(
  "VM {int} reserves a slot at the gate of VM {int} and doesn't use it",
  async function (this: World, from: number, to: number) {
    const {fleet} = stateOf(this);
    await reserveAt(remoteGate(fleet, from, to));
    assert.equal(fleet.vm(to).daemon.gate.status?.running, 1);
  },
);

Then(
  'the gate of VM {int} has no request within {int} ms',
  async function (this: World, index: number, withinMs: number) {
    const {gate} = stateOf(this).fleet.vm(index).daemon;
    await until('the slot is released', () => gate.isIdle, withinMs);
  },
);

Then(
  "it hasn't run, for the reason {string}",
  function (this: World, reason: string) {
    const outcome = outcomes.get(this);
    assert.ok(outcome?.kind === 'not-run', JSON.stringify(outcome));
    assert.equal(outcome.reason, reason);
    const {vms} = stateOf(this).fleet;
    const seen = vms.flatMap(({backend}) => backend.seen);
    assert.deepEqual(seen, []);
  },
);

Then('the instance has answered it', function (this: World) {
  const {kind, ...rest} = outcomes.get(this) ?? {};
  assert.equal(kind, 'answered', JSON.stringify(rest));
});

Then(
  'the gate of VM {int} regards its instance as {string}',
  function (this: World, index: number, state: string) {
    const {status} = stateOf(this).fleet.vm(index).daemon.gate;
    assert.equal(status?.state, state);
  },
);

Given(
  "callers' connections may be idle for {int} ms",
  function (this: World, idleTimeoutMs: number) {
    const {fleet} = stateOf(this);
    const {configuration} = fleet.vm(0).daemon.configurationTracker;
    assert.ok(configuration);
    const version = configuration.version + 1;
    const limits = {...configuration.limits, idleTimeoutMs};
    fleet.configure({...configuration, version, limits});
  },
);

/** Opens a connection, and sends a first request on it. */
async function openConnection({callers}: MeshVm): Promise<CallerConnection> {
  const [host, port] = callers.split(':');
  const socket = connect(Number(port), host);
  const connection = {socket, text: ''};
  socket.on('data', chunk => (connection.text += chunk.toString()));
  socket.on('error', err => (connection.text += err.message));
  sendOn(connection);
  await until('it is answered', () => okCount(connection) === 1, ANSWER_MS);
  return connection;
}

function sendOn({socket}: CallerConnection): void {
  const fields = `host: app.example\r\n${NAMES.requestId}: ${ID}\r\n`;
  socket.write(`GET /open/ HTTP/1.1\r\n${fields}\r\n`);
}

function okCount({text}: CallerConnection): number {
  return text.split('HTTP/1.1 200 ').length - 1;
}

When(
  'a caller sends a request on a connection that was idle for {int} ms and VM {int} is then busy for {int} ms',
  async function (this: World, idleMs: number, index: number, busyMs: number) {
    const connection = await openConnection(stateOf(this).fleet.vm(index));
    connections.set(this, connection);
    await sleep(idleMs);
    // The timers run next after an immediate, and the reads after them.
    await new Promise(resolve => setImmediate(resolve));
    sendOn(connection);
    blockFor(busyMs);
  },
);

When(
  'a caller leaves a connection to VM {int} idle after a request',
  async function (this: World, index: number) {
    const connection = await openConnection(stateOf(this).fleet.vm(index));
    connections.set(this, connection);
  },
);

Then(
  'both of its requests are answered with 200',
  async function (this: World) {
    const connection = connections.get(this);
    assert.ok(connection);
    const {socket} = connection;
    const isOver = () => okCount(connection) === 2 || socket.destroyed;
    await until('the second answer or the end', isOver, ANSWER_MS);
    assert.equal(okCount(connection), 2, connection.text);
    socket.destroy();
  },
);

Then(
  'it is closed {int} to {int} ms later',
  async function (this: World, minMs: number, maxMs: number) {
    const socket = connections.get(this)?.socket;
    assert.ok(socket);
    const sinceMs = performance.now();
    await once(socket, 'close');
    const tookMs = performance.now() - sinceMs;
    assert.ok(tookMs >= minMs && tookMs <= maxMs, `${tookMs} ms`);
  },
);

Given(
  'a mesh fleet of {int} VMs that is busy for {int} ms as it starts',
  async function (this: World, count: number, busyMs: number) {
    await stateOf(this).fleet.launch(Array<string>(count).fill(SERVICE), 2);
    // The timers run next after an immediate, and the reads after them.
    await new Promise(resolve => setImmediate(resolve));
    blockFor(busyMs);
  },
);

When(
  'a caller sends a request to VM {int} and the configuration comes {int} ms later',
  async function (this: World, index: number, laterMs: number) {
    const state = stateOf(this);
    const vm = state.fleet.vm(index);
    const sent = send(vm, {path: '/once/', key: 'key-big'});
    await sleep(laterMs);
    state.fleet.configure(configuration(1));
    const answer = await sent;
    state.answers = answer ? [answer] : [];
  },
);

When(
  'a daemon probes an instance and is then busy for {int} ms',
  async function (this: World, busyMs: number) {
    const backend = new MeshBackend();
    backend.notices.set(NAMES.instance, 'probed');
    const client = new BackendClient(
      await backend.start(),
      NAMES,
      UNLIMITED_RESPONSES,
    );
    try {
      const probe = client.probe('/health');
      blockAfterTicks(TICKS, busyMs);
      const found = await probe;
      if (found) probes.set(this, found);
    } finally {
      backend.stop();
    }
  },
);

Then('it has found the instance', function (this: World) {
  assert.equal(probes.get(this)?.instance, 'probed');
});

Given(
  'the backend server of VM {int} ends when it gets the request',
  function (this: World, index: number) {
    stateOf(this).fleet.vm(index).backend.endsAtPath = WORK.path;
  },
);

When(
  'VM {int} runs a request while each turn of its event loop takes {int} ms',
  async function (this: World, index: number, turnMs: number) {
    const {gate} = stateOf(this).fleet.vm(index).daemon;
    const reservation = await reserveAt(gate);
    const loop = new LateEventLoop(turnMs);
    try {
      const {signal} = new AbortController();
      outcomes.set(this, await reservation.run(WORK, signal));
    } finally {
      loop.stop();
    }
  },
);

Then('the instance has ended within it', function (this: World) {
  const outcome = outcomes.get(this);
  assert.ok(outcome?.kind === 'unknown', JSON.stringify(outcome));
  assert.equal(outcome.hasInstanceEnded, true, outcome.reason);
});

Then('the gate of VM 0 never suspected its instance', function (this: World) {
  const suspicions = stateOf(this).fleet.lines.filter(
    ({event, trust}) => event === 'backend-trust' && trust === 'suspect',
  );
  assert.deepEqual(suspicions, []);
});

Then(
  'the instance was given at most {int} ms',
  function (this: World, maxMs: number) {
    const {vms} = stateOf(this).fleet;
    const deadlinesMs = vms.flatMap(({backend}) => backend.deadlinesMs);
    assert.equal(deadlinesMs.length, 1);
    assert.ok(Number(deadlinesMs[0]) <= maxMs, `${deadlinesMs[0]} ms`);
  },
);

When(
  'a caller sends a request to {string} at VM {int}, which is busy for {int} ms once an instance has answered',
  async function (this: World, path: string, index: number, busyMs: number) {
    const state = stateOf(this);
    const {vms} = state.fleet;
    const hasAnswered = () => vms.some(({backend}) => backend.seen.length > 0);
    const blockOnceAnswered = () => {
      if (hasAnswered()) blockFor(busyMs);
      else setImmediate(blockOnceAnswered);
    };
    blockOnceAnswered();
    const answer = await send(state.fleet.vm(index), {
      path: `${path}1`,
      deadlineMs: ANSWER_MS,
    });
    state.answers = answer ? [answer] : [];
  },
);

Then('no request was repeated', function (this: World) {
  const {lines} = stateOf(this).fleet;
  const repeats = lines.filter(({event}) => event.startsWith('repeat'));
  assert.deepEqual(repeats, []);
});
