/** Steps for customer shares in a fleet of real daemons. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {Packr} from 'msgpackr';
import {WebSocket} from 'ws';
import type {CustomerShares} from '../../src/mesh/gate/queue_place.js';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {SlotRequest, Work} from '../../src/mesh/gate/work.js';
import type {RepeatPayment} from '../../src/mesh/limits/repeat_budget.js';
import {
  decodeFrame,
  encodeFrame,
  PEER_PATH,
  type RequestFrame,
  type ResponseFrame,
} from '../../src/mesh/peers/frames.js';
import type {World} from '../support/world.js';
import {
  configuration,
  send,
  SERVICE,
  stateOf as meshStateOf,
} from './mesh_path_steps.js';

/** The shapes of the build before shares, in their order. */
const EARLIER_SHAPES = [
  ['kind', 'id'],
  ['kind', 'id', 'slot'],
  ['kind', 'id', 'work'],
  ['kind', 'id', 'ask'],
  ['kind', 'id', 'share'],
  ['kind', 'id', 'instance', 'lateAfterMs', 'load'],
  ['kind', 'id', 'why', 'load'],
  ['kind', 'id', 'outcome', 'load'],
  [
    'requestId',
    'service',
    'route',
    'priority',
    'objectiveMs',
    'leftMs',
    'assurance',
  ],
  ['requestId', 'method', 'path', 'headers', 'body', 'leftMs', 'isRepeat'],
  ['limit', 'spent'],
  ['groups', 'partMs'],
  ['kind', 'id', 'payment'],
  ['kind', 'payment'],
  ['service', 'lots', 'spent'],
  ['kind', 'id', 'isGranted'],
  ['isGranted', 'retryAfterMs'],
  ['running', 'waiting', 'trust'],
  ['kind', 'reason', 'waitMs'],
  ['kind', 'instance', 'status', 'headers', 'body'],
  ['kind', 'instance', 'reason'],
  ['kind', 'instance', 'reason', 'hasArrived'],
];

/** The codec of the build before shares. */
const earlierCodec = new Packr({
  structures: EARLIER_SHAPES,
  maxSharedStructures: EARLIER_SHAPES.length,
  encodeUndefinedAsNil: true,
});

interface ServedRequest {
  readonly customer: string;
  readonly status: number;
  readonly tookMs: number;
}

interface ShareState {
  served: readonly ServedRequest[];
  slot: SlotRequest;
  payment?: RepeatPayment;
  bytes: Buffer;
  outcomes: readonly ResponseFrame[];
}

const LONG_PATH = '/long/1';
const DEADLINE_MS = 8000;

const SLOT_REQUEST: SlotRequest = {
  requestId: 'f4d28b47d0f575f0',
  service: SERVICE,
  route: 'long',
  priority: 1,
  objectiveMs: 4000,
  leftMs: 8000,
  assurance: 'answering',
};

const states = new WeakMap<object, ShareState>();

function stateOf(world: object): ShareState {
  const known = states.get(world);
  if (known) return known;
  const slot = SLOT_REQUEST;
  const state = {served: [], slot, bytes: Buffer.alloc(0), outcomes: []};
  states.set(world, state);
  return state;
}

Given(
  'a mesh fleet of {int} VMs with {int} slots each and customer shares {string}',
  async function (this: World, count: number, slots: number, shares: string) {
    const {fleet} = meshStateOf(this);
    const settings = shares.split(', ') as readonly CustomerShares[];
    assert.equal(settings.length, count);
    await fleet.start(
      settings.map(() => SERVICE),
      slots,
      settings,
    );
    const customers = ['hot', 'quiet'].map(name => ({
      name,
      keys: [`key-${name}`],
      ratePerS: 0,
      burst: 0,
    }));
    fleet.configure({...configuration(1), customers});
  },
);

/** Sends requests at once, to all VMs in turn. */
async function sendAll(
  world: World,
  customer: string,
  count: number,
): Promise<void> {
  const {fleet} = meshStateOf(world);
  const requests = Array.from({length: count}, async (_, index) => {
    const sentAtMs = performance.now();
    const answer = await send(fleet.vm(index % fleet.vms.length), {
      path: LONG_PATH,
      key: `key-${customer}`,
      deadlineMs: DEADLINE_MS,
    });
    const tookMs = performance.now() - sentAtMs;
    return {customer, status: answer?.status ?? 0, tookMs};
  });
  const served = await Promise.all(requests);
  const state = stateOf(world);
  state.served = [...state.served, ...served];
}

When(
  '{string} sends {int} requests, and {int} ms later {string} sends {int}',
  async function (
    this: World,
    first: string,
    count: number,
    laterMs: number,
    second: string,
    secondCount: number,
  ) {
    const earlier = sendAll(this, first, count);
    await sleep(laterMs);
    await Promise.all([earlier, sendAll(this, second, secondCount)]);
  },
);

When(
  '{string} sends {int} requests',
  async function (this: World, customer: string, count: number) {
    await sendAll(this, customer, count);
  },
);

function servedOf(world: World, customer: string): readonly ServedRequest[] {
  return stateOf(world).served.filter(served => served.customer === customer);
}

Then(
  'all requests of {string} are served within {int} ms',
  function (this: World, customer: string, withinMs: number) {
    const served = servedOf(this, customer);
    assert.ok(served.length > 0);
    served.forEach(({status, tookMs}) => {
      assert.equal(status, 200);
      assert.ok(tookMs <= withinMs, `${tookMs}`);
    });
  },
);

Then(
  'at least {int} requests of {string} are served',
  function (this: World, least: number, customer: string) {
    const good = servedOf(this, customer).filter(({status}) => status === 200);
    assert.ok(good.length >= least, `${good.length}`);
  },
);

Then(
  'the log tells how long a request of {string} waited',
  function (this: World, customer: string) {
    const {lines} = meshStateOf(this).fleet;
    const line = lines.find(
      ({event, customer: of, result}) =>
        event === 'queue-left' && of === customer && result === 'slot',
    );
    assert.ok(line);
    assert.ok(Number(line.waitedMs) > 0);
    assert.equal(typeof line.id, 'string');
  },
);

Then(
  'the metrics show waits by priority, but no customer',
  async function (this: World) {
    const {daemon} = meshStateOf(this).fleet.vm(0);
    const url = `http://${daemon.boundAddresses.metrics}/metrics`;
    const text = await (await fetch(url)).text();
    const name = 'chicorycourse_queue_wait_seconds_count';
    const slots = new RegExp(`${name}{priority="1",result="slot"} [1-9]`);
    assert.match(text, slots);
    assert.doesNotMatch(text, /quiet|hot\b|customer=/);
  },
);

/** A peer that sends frames of its own making to a daemon. */
class RawPeer {
  readonly frames: ResponseFrame[] = [];
  readonly #socket: WebSocket;

  constructor(address: string) {
    this.#socket = new WebSocket(`ws://${address}${PEER_PATH}`);
    this.#socket.on('message', (bytes: Buffer) => {
      const frame = earlierCodec.unpack(bytes) as ResponseFrame | unknown[];
      if (!Array.isArray(frame)) this.frames.push(frame);
    });
  }

  async open(): Promise<void> {
    await once(this.#socket, 'open');
  }

  close(): void {
    this.#socket.close();
  }

  send(frame: RequestFrame): void {
    this.#socket.send(earlierCodec.pack(frame));
  }

  /** Resolves to the first frame of a kind for an id. */
  async receive(kind: ResponseFrame['kind'], id: number) {
    const untilMs = performance.now() + DEADLINE_MS;
    while (performance.now() < untilMs) {
      const frame = this.frames.find(
        f => f.kind === kind && 'id' in f && f.id === id,
      );
      if (frame) return frame;
      await sleep(10);
    }
    throw new Error(`no ${kind} for ${id}: ${JSON.stringify(this.frames)}`);
  }
}

async function withPeer<Result>(
  world: World,
  use: (peer: RawPeer) => Promise<Result>,
): Promise<Result> {
  const {address} = meshStateOf(world).fleet.vm(0).daemon.self;
  const peer = new RawPeer(address);
  try {
    await peer.open();
    return await use(peer);
  } finally {
    peer.close();
  }
}

function workOf(requestId: string): Work {
  return {
    requestId,
    method: 'POST',
    path: LONG_PATH,
    headers: ['host', 'app.example', NAMES.requestId, requestId],
    body: Buffer.from('body'),
    leftMs: DEADLINE_MS,
    isRepeat: false,
  };
}

When(
  'a peer of the build before shares reserves {int} slots and runs a request in each',
  async function (this: World, count: number) {
    const ids = Array.from({length: count}, (_, index) => index + 1);
    stateOf(this).outcomes = await withPeer(this, peer =>
      Promise.all(
        ids.map(async id => {
          const requestId = `old-${id}`;
          const slot = {...SLOT_REQUEST, requestId};
          peer.send({kind: 'reserve', id, slot});
          await peer.receive('reserved', id);
          peer.send({kind: 'run', id, work: workOf(requestId)});
          return peer.receive('outcome', id);
        }),
      ),
    );
  },
);

Then(
  'the backend server ran each of the {int} requests, and the peer could read the outcomes',
  function (this: World, count: number) {
    const {seen} = meshStateOf(this).fleet.vm(0).backend;
    assert.deepEqual(
      seen.toSorted(),
      Array.from({length: count}, (_, index) => `old-${index + 1}`),
    );
    const {outcomes} = stateOf(this);
    assert.equal(outcomes.length, count);
    outcomes.forEach(frame => {
      assert.equal(frame.kind, 'outcome');
      assert.equal(frame.outcome.kind, 'answered');
    });
  },
);

When(
  /^a reservation (with|without) a customer is encoded$/,
  function (this: World, presence: string) {
    const customer = presence === 'with' ? {customer: 'quiet'} : {};
    const slot = {...SLOT_REQUEST, ...customer};
    const bytes = encodeFrame({kind: 'reserve', id: 70_000, slot});
    Object.assign(stateOf(this), {slot, bytes});
  },
);

Then(
  'the build before shares reads it, with a field that it skips',
  function (this: World) {
    const {bytes} = stateOf(this);
    assert.deepEqual(earlierCodec.unpack(bytes), {
      kind: 'reserve',
      id: 70_000,
      slot: {...SLOT_REQUEST, customer: 'quiet'},
    });
  },
);

Then('its bytes are those of the build before shares', function (this: World) {
  const {bytes, slot} = stateOf(this);
  const frame = {kind: 'reserve', id: 70_000, slot};
  assert.deepEqual(bytes, Buffer.from(earlierCodec.pack(frame)));
});

const PAYMENT: RepeatPayment = {
  service: SERVICE,
  lots: [[1.25, 1600.5]],
  spent: 2,
};

const PAYMENTS: Readonly<Record<string, RepeatPayment>> = {
  'for a call': {...PAYMENT, isForCall: true},
  'of a service with calls': {...PAYMENT, hasCalls: true},
  'without calls': PAYMENT,
};

When(/^a payment (.+) is encoded$/, function (this: World, kind: string) {
  const payment = PAYMENTS[kind];
  assert.ok(payment);
  const bytes = encodeFrame({kind: 'payment', payment});
  Object.assign(stateOf(this), {payment, bytes});
  const isAsBefore = bytes.equals(
    earlierCodec.pack({kind: 'payment', payment}),
  );
  assert.ok(isAsBefore);
});

Then(
  'the build before shares reads its tokens and charges',
  function (this: World) {
    const frame = earlierCodec.unpack(stateOf(this).bytes) as {
      readonly payment: RepeatPayment;
    };
    const {service, lots, spent} = frame.payment;
    assert.deepEqual({service, lots, spent}, PAYMENT);
  },
);

Then('it is decoded to the same payment', function (this: World) {
  const {bytes, payment} = stateOf(this);
  assert.deepEqual(decodeFrame(bytes, 'peer'), {kind: 'payment', payment});
});

const INVALID_CUSTOMERS: Readonly<Record<string, unknown>> = {
  'a number': 7,
  'an empty name': '',
  'a name of 2 MB': 'x'.repeat(2_000_000),
};

When(
  /^a peer reserves 2 slots with (.+) as customer$/,
  async function (this: World, fault: string) {
    const customer = INVALID_CUSTOMERS[fault] as string;
    stateOf(this).outcomes = await withPeer(this, peer =>
      Promise.all(
        [1, 2].map(id => {
          const slot = {...SLOT_REQUEST, customer};
          peer.send({kind: 'reserve', id, slot});
          return peer.receive('reserved', id);
        }),
      ),
    );
  },
);

Then(
  'both are granted, and the log tells once that the customer is invalid',
  function (this: World) {
    const {lines} = meshStateOf(this).fleet;
    assert.equal(stateOf(this).outcomes.length, 2);
    const invalid = lines.filter(
      ({event}) => event === 'peer-customer-invalid',
    );
    assert.equal(invalid.length, 1);
  },
);
