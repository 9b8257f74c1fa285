/** Steps for the links between mesh daemons. */
import assert from 'node:assert/strict';
import {getEventListeners, once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {WebSocketServer} from 'ws';
import type {MeshDaemon} from '../../src/mesh/mesh_daemon.js';
import type {Vm} from '../../src/mesh/model.js';
import {HandshakeQueue} from '../../src/mesh/peers/handshake_queue.js';
import {until} from '../support/fleet.js';
import {blockFor, LateEventLoop} from '../support/late_event_loop.js';
import type {MeshVm} from '../support/mesh_fleet.js';
import {freeAddress} from '../support/ports.js';
import type {World} from '../support/world.js';
import {configuration, send, stateOf} from './mesh_path_steps.js';

/** Port 9 discards what it gets, where it is served at all. */
const UNUSED = {id: 'gone', address: '127.0.0.1:9', failureDomain: 'test'};
const ATTEMPTS_MS = 5000;
/** More than any bound of the scenarios. */
const START_TIMEOUT_MS = 30_000;

const PATIENCE_MS = 8000;

const lateLoops = new WeakMap<World, LateEventLoop>();

After(function (this: World) {
  lateLoops.get(this)?.stop();
});

function failuresOf(world: World): readonly unknown[] {
  return stateOf(world)
    .fleet.lines.filter(({event}) => event === 'peer-connect-failed')
    .map(({attempts}) => attempts);
}

When('vm-0 is given a peer that nothing listens for', function (this: World) {
  stateOf(this).fleet.vm(0).daemon.peers.upsert(UNUSED);
});

When('2 attempts to connect to it have failed', async function (this: World) {
  const haveFailed = () => failuresOf(this).length === 2;
  await until('two attempts failed', haveFailed, ATTEMPTS_MS);
});

Then(
  'the metrics of vm-0 count 1 open link and the failed attempts',
  async function (this: World) {
    const {daemon} = stateOf(this).fleet.vm(0);
    const res = await fetch(`http://${daemon.boundAddresses.metrics}/metrics`);
    const page = await res.text();
    assert.match(page, /^chicorycourse_peer_links\{state="open"\} 1$/m);
    const failed =
      /^chicorycourse_peer_connect_seconds_count\{outcome="failed"\} (\d+)$/m;
    assert.ok(Number(failed.exec(page)?.[1]) >= 2, page);
  },
);

Then('its log has the first two failures', function (this: World) {
  assert.deepEqual(failuresOf(this), [1, 2]);
});

const SERVICES = ['pay', 'book'] as const;

/** Starts daemons whose instances belong to the services in turn. */
async function launch(world: World, daemons: number): Promise<void> {
  const services = Array.from(
    {length: daemons},
    (_, index) => SERVICES[index % SERVICES.length] ?? SERVICES[0],
  );
  await stateOf(world).fleet.launch(services, 2);
}

/** Whether the daemon can use a gate of each service. */
function reachesAll(
  {daemon}: MeshVm,
  services: ReadonlySet<string | undefined>,
): boolean {
  const reached = daemon.peers.links
    .filter(({isReachable}) => isReachable)
    .map(({status}) => status?.backend?.service);
  const own = daemon.gate.status?.service;
  return [...services].every(s => s === own || reached.includes(s));
}

When(
  '{int} mesh daemons start in a process whose event loop takes {int} ms to turn',
  async function (this: World, daemons: number, turnMs: number) {
    await launch(this, daemons);
    lateLoops.set(this, new LateEventLoop(turnMs));
  },
);

When(
  '{int} mesh daemons start in one process',
  async function (this: World, daemons: number) {
    await launch(this, daemons);
  },
);

When('the process is paused for {int} s', (seconds: number) => {
  blockFor(seconds * 1000);
});

Then(
  'each daemon reaches every service within {int} s',
  {timeout: START_TIMEOUT_MS},
  async function (this: World, seconds: number) {
    const {vms} = stateOf(this).fleet;
    const services = new Set(
      vms.map(({daemon}) => daemon.gate.status?.service),
    );
    const allReach = () => vms.every(vm => reachesAll(vm, services));
    await until('each reaches every service', allReach, seconds * 1000);
  },
);

Then(
  'no connection between daemons is lost in the next {int} s',
  async function (this: World, seconds: number) {
    await sleep(seconds * 1000);
    const lost = stateOf(this).fleet.lines.filter(l => l.event === 'peer-lost');
    assert.deepEqual(lost, []);
  },
);

Given(
  'a mesh fleet of 2 VMs, of which only vm-1 has an instance of "pay"',
  async function (this: World) {
    const {fleet} = stateOf(this);
    await fleet.start(['book', 'pay'], 2);
    fleet.configure(configuration(1));
  },
);

When(
  'a caller sends a request to vm-0 while the event loop takes {int} ms to turn',
  {timeout: START_TIMEOUT_MS},
  async function (this: World, turnMs: number) {
    const state = stateOf(this);
    lateLoops.set(this, new LateEventLoop(turnMs));
    const answer = await send(state.fleet.vm(0), {
      path: '/long/1',
      key: 'key-big',
      deadlineMs: PATIENCE_MS,
    });
    state.answers = answer ? [answer] : [];
  },
);

Then('no gate counted as silent', function (this: World) {
  const {lines} = stateOf(this).fleet;
  assert.deepEqual(
    lines.filter(({event}) => event === 'peer-silent'),
    [],
  );
});

async function countFailedConnects(daemon: MeshDaemon): Promise<number> {
  const res = await fetch(`http://${daemon.boundAddresses.metrics}/metrics`);
  const failed =
    /^chicorycourse_peer_connect_seconds_count\{outcome="failed"\} (\d+)$/m;
  return Number(failed.exec(await res.text())?.[1] ?? 0);
}

Then(
  'it makes {int} to {int} attempts to connect to it within {int} s',
  async function (this: World, min: number, max: number, seconds: number) {
    await sleep(seconds * 1000);
    const {daemon} = stateOf(this).fleet.vm(0);
    const attempts = await countFailedConnects(daemon);
    assert.ok(attempts >= min && attempts <= max, `${attempts} attempts`);
  },
);

const restarting = new WeakMap<World, Vm>();

Given(
  'vm-0 knows a peer that has refused {int} attempts to connect',
  {timeout: START_TIMEOUT_MS},
  async function (this: World, refused: number) {
    const address = await freeAddress();
    const peer = {id: 'vm-late', address, failureDomain: 'test'};
    restarting.set(this, peer);
    const {daemon} = stateOf(this).fleet.vm(0);
    daemon.peers.upsert(peer);
    const hasRefused = async () =>
      (await countFailedConnects(daemon)) >= refused;
    await until('the attempts failed', hasRefused, START_TIMEOUT_MS);
  },
);

When('that peer starts and connects to vm-0', async function (this: World) {
  const peer = restarting.get(this);
  assert.ok(peer);
  const {fleet} = stateOf(this);
  await fleet.launchAt(peer.id, peer.address, 'pay', 2);
});

Then(
  'vm-0 is connected to it within {int} ms',
  async function (this: World, withinMs: number) {
    const {daemon} = stateOf(this).fleet.vm(0);
    const isConnected = () =>
      daemon.peers.links.some(
        ({vm, state}) => vm.id === restarting.get(this)?.id && state === 'open',
      );
    await until('it is connected', isConnected, withinMs);
  },
);

const signals = new WeakMap<World, AbortSignal>();

When(
  '{int} handshakes with the same signal take their turn',
  async function (this: World, count: number) {
    const {signal} = new AbortController();
    const queue = new HandshakeQueue();
    const handshakes = Array.from({length: count}, () =>
      queue.run(() => Promise.resolve(), 0, signal),
    );
    await Promise.all(handshakes);
    signals.set(this, signal);
  },
);

Then('the signal has no listeners', function (this: World) {
  const signal = signals.get(this);
  assert.ok(signal);
  assert.equal(getEventListeners(signal, 'abort').length, 0);
});

When('vm-0 is given a peer at the address of vm-1', function (this: World) {
  const {fleet} = stateOf(this);
  const {address} = fleet.vm(1).daemon.self;
  fleet.vm(0).daemon.peers.upsert({...UNUSED, address});
});

Then('vm-0 reaches only vm-1', function (this: World) {
  const {peers} = stateOf(this).fleet.vm(0).daemon;
  assert.deepEqual(peers.reachable(), ['vm-1']);
});

When('vm-0 reads a list with no other daemon', function (this: World) {
  const {daemon} = stateOf(this).fleet.vm(0);
  daemon.peers.applyList([daemon.self]);
});

/** A listener for peers that sends nothing on its connections. */
interface SilentPeer {
  readonly server: WebSocketServer;
  connections: number;
}

const silentPeers = new WeakMap<World, SilentPeer>();

After(function (this: World) {
  const {server} = silentPeers.get(this) ?? {};
  server?.clients.forEach(socket => socket.terminate());
  server?.close();
});

When(
  'vm-0 is given a peer that accepts connections and sends nothing',
  async function (this: World) {
    const address = await freeAddress();
    const [host, port] = address.split(':');
    const server = new WebSocketServer({host, port: Number(port)});
    await once(server, 'listening');
    const peer: SilentPeer = {server, connections: 0};
    server.on('connection', () => (peer.connections += 1));
    silentPeers.set(this, peer);
    const {peers} = stateOf(this).fleet.vm(0).daemon;
    peers.upsert({id: 'silent', address, failureDomain: 'test'});
  },
);

Then(
  'vm-0 opens a second connection to it within {int} s',
  {timeout: START_TIMEOUT_MS},
  async function (this: World, seconds: number) {
    const isOpenedAnew = () => (silentPeers.get(this)?.connections ?? 0) >= 2;
    await until('it is opened anew', isOpenedAnew, seconds * 1000);
  },
);
