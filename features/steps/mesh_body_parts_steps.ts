/** Steps for bodies that daemons send each other in parts. */
import assert from 'node:assert/strict';
import {randomFillSync} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {MemoryBudget} from '../../src/mesh/limits/memory_budget.js';
import {
  BodyReceiver,
  type ReceiptFrame,
  type ReceivedBody,
} from '../../src/mesh/peers/body_receiver.js';
import {BodySender} from '../../src/mesh/peers/body_sender.js';
import {
  BODY_FOLLOWS,
  type RequestFrame,
  type ResponseFrame,
} from '../../src/mesh/peers/frames.js';
import {
  MAX_PARTS_ON_THE_WAY,
  PART_BYTES,
  PartTurns,
} from '../../src/mesh/peers/part_turns.js';
import {until} from '../support/fleet.js';
import {RawGate, RawRouter} from '../support/raw_peers.js';
import type {World} from '../support/world.js';
import {configuration, send, SERVICE, stateOf} from './mesh_path_steps.js';

const BUDGET_BYTES = 8_000_000;
const CONNECT_TIMEOUT_MS = 5000;
const SETTLE_MS = 1000;
const RUN_ID = 1;
const MAX_BODY_BYTES = 20_000_000;

/** The state of one scenario. */
interface PartsState {
  turns?: PartTurns;
  receiver?: BodyReceiver;
  budget?: MemoryBudget;
  readonly receipts: ReceiptFrame[];
  results: Promise<ReceivedBody>[];
  abort?: AbortController;
  sent?: Buffer;
  sender?: BodySender;
  tookMs?: number;
  gate?: RawGate;
  router?: RawRouter;
}

const states = new WeakMap<object, PartsState>();

function partsOf(world: object): PartsState {
  const known = states.get(world) ?? {receipts: [], results: []};
  states.set(world, known);
  return known;
}

After(function () {
  states.get(this)?.gate?.stop();
  states.get(this)?.router?.close();
});

/** Bodies of up to eight parts, by id. */
const bodies = fc
  .array(fc.integer({min: 1, max: 8 * PART_BYTES}), {
    minLength: 1,
    maxLength: 6,
  })
  .map(sizes =>
    sizes.map((size, id) => ({id, body: Buffer.alloc(size, id + 1)})),
  );

/** Hands out parts until there are none; acknowledges as `orders` says. */
function exchange(
  turns: PartTurns,
  orders: () => boolean,
  onPart: (id: number, bytes: Buffer) => void,
): number {
  let mostOnTheWay = 0;
  const onTheWay: number[] = [];
  for (;;) {
    const part = turns.next();
    if (part) {
      onTheWay.push(part.id);
      onPart(part.id, part.bytes);
      mostOnTheWay = Math.max(mostOnTheWay, onTheWay.length);
      if (orders()) continue;
    }
    const id = onTheWay.shift();
    if (id === undefined) return mostOnTheWay;
    turns.acknowledge(id);
  }
}

Then(
  'any accepted bodies arrive whole, with at most {int} parts on the way',
  (mostParts: number) => {
    const orders = fc.infiniteStream(fc.boolean());
    const property = fc.property(bodies, orders, (all, order) => {
      const turns = new PartTurns();
      all.forEach(({id, body}) => turns.add(id, body));
      [...all].reverse().forEach(({id}) => turns.accept(id));
      const received = new Map<number, Buffer[]>();
      const next = () => order.next().value === true;
      const most = exchange(turns, next, (id, bytes) => {
        received.set(id, [...(received.get(id) ?? []), bytes]);
      });
      assert.ok(most <= mostParts);
      assert.equal(mostParts, MAX_PARTS_ON_THE_WAY);
      assert.ok(turns.isEmpty);
      all.forEach(({id, body}) =>
        assert.deepEqual(Buffer.concat(received.get(id) ?? []), body),
      );
    });
    fc.assert(property);
  },
);

Then('any withdrawn bodies leave the connection free for others', () => {
  const property = fc.property(bodies, fc.nat(20), (all, sentParts) => {
    const turns = new PartTurns();
    all.forEach(({id, body}) => turns.add(id, body));
    all.forEach(({id}) => turns.accept(id));
    const onTheWay = Array.from({length: sentParts}, () => turns.next());
    all.forEach(({id}) => turns.remove(id));
    onTheWay.forEach(part => part && turns.acknowledge(part.id));
    const last = {id: all.length, body: Buffer.alloc(10 * PART_BYTES)};
    turns.add(last.id, last.body);
    turns.accept(last.id);
    let parts = 0;
    exchange(
      turns,
      () => true,
      () => (parts += 1),
    );
    assert.equal(parts, 10);
    assert.ok(turns.isEmpty);
  });
  fc.assert(property);
});

When(
  'a body of {int} parts is being sent and one of {int} parts is accepted',
  function (largeParts: number, smallParts: number) {
    const turns = new PartTurns();
    partsOf(this).turns = turns;
    turns.add(1, Buffer.alloc(largeParts * PART_BYTES));
    turns.accept(1);
    const first = turns.next();
    assert.equal(first?.id, 1);
    turns.acknowledge(1);
    turns.add(2, Buffer.alloc(smallParts * PART_BYTES));
    turns.accept(2);
  },
);

Then(
  'the small body is sent within the next {int} parts',
  function (withinParts: number) {
    const {turns} = partsOf(this);
    assert.ok(turns);
    const ids = Array.from({length: withinParts}, () => {
      const part = turns.next();
      if (part) turns.acknowledge(part.id);
      return part?.id;
    });
    assert.equal(ids.filter(id => id === 2).length, withinParts / 2);
  },
);

Given(
  'a sender that gives up after {int} ms without an answer',
  function (stallMs: number) {
    partsOf(this).sender = new BodySender(() => undefined, stallMs);
  },
);

When(
  'a body is withdrawn, and another one follows {int} ms later',
  async function (laterMs: number) {
    const state = partsOf(this);
    const {sender} = state;
    assert.ok(sender);
    const body = Buffer.alloc(PART_BYTES);
    void sender.send(1, body);
    sender.cancel(1);
    await sleep(laterMs);
    const startedAtMs = performance.now();
    const result = await sender.send(2, body);
    assert.equal(result, 'partial');
    state.tookMs = performance.now() - startedAtMs;
  },
);

Then(
  'the second one is given up {int} ms after its start, not before',
  function (stallMs: number) {
    // Timers of Node.js may fire up to 1 ms early, and there are three in turn.
    assert.ok((partsOf(this).tookMs ?? 0) >= stallMs - 3);
  },
);

function startReceiver(world: object, usedBytes: number): void {
  const state = partsOf(world);
  const budget = new MemoryBudget(BUDGET_BYTES);
  if (usedBytes > 0) budget.reserve(usedBytes, 'response');
  state.budget = budget;
  state.receiver = new BodyReceiver({
    reserve: bytes => budget.reserve(bytes, 'peer-body'),
    maxBodyBytes: budget.maxBodyBytes,
    maxWaitMs: 100,
    send: frame => state.receipts.push(frame),
  });
}

Given('a receiver without free memory', function () {
  startReceiver(this, 7_000_000);
});

Given('a receiver with free memory', function () {
  startReceiver(this, 0);
});

function announce(world: object, id: number, bytes: number): void {
  const state = partsOf(world);
  assert.ok(state.receiver);
  state.abort = new AbortController();
  const {signal} = state.abort;
  state.results.push(state.receiver.receive(id, bytes, signal));
}

When('a body of {int} bytes is announced to it', function (bytes: number) {
  announce(this, RUN_ID, bytes);
});

When(
  '{int} bodies of {int} bytes are announced to it',
  function (count: number, bytes: number) {
    Array.from({length: count}, (_, id) => announce(this, id, bytes));
  },
);

Then(
  'it is given up as {string}, and none of it was accepted',
  async function (kind: string) {
    const {results, receipts} = partsOf(this);
    const [result] = await Promise.all(results);
    assert.equal(result?.kind, kind);
    assert.deepEqual(receipts, []);
  },
);

Then('the last one is given up at once', async function () {
  const {results} = partsOf(this);
  const ids = results.map(async (result, id) => {
    await result;
    return id;
  });
  assert.equal(await Promise.race(ids), results.length - 1);
});

/** What happens to the sender of a body, by kind. */
const SENDER_ENDS: Readonly<Record<string, (state: PartsState) => void>> = {
  withdrawn: ({abort}) => abort?.abort(),
  silent: () => undefined,
  'cut off': ({receiver}) => receiver?.cancelAll(),
};

When(/^its sender is (.+) after the first part$/, async function (end: string) {
  const state = partsOf(this);
  const isAccepted = () => state.receipts.length > 0;
  await until('it is accepted', isAccepted, SETTLE_MS);
  state.receiver?.add(RUN_ID, Buffer.alloc(PART_BYTES));
  SENDER_ENDS[end]?.(state);
});

Then(
  'it is given up as {string}, and no memory is held',
  async function (kind: string) {
    const {results, budget} = partsOf(this);
    const [result] = await Promise.all(results);
    assert.equal(result?.kind, kind);
    assert.equal(budget?.usedBytes, 0);
  },
);

When(
  'a caller of VM {int} uploads {int} random bytes to {string}',
  async function (this: World, index: number, bytes: number, path: string) {
    const state = stateOf(this);
    const body = randomFillSync(Buffer.alloc(bytes));
    partsOf(this).sent = body;
    const vm = state.fleet.vm(index);
    const answer = await send(vm, {path, key: 'key-big', body});
    state.answers = answer ? [answer] : [];
  },
);

Then('the response has the body that was sent', function (this: World) {
  const {sent} = partsOf(this);
  const [answer] = stateOf(this).answers;
  const isSame = sent?.equals(Buffer.from(answer?.body ?? '', 'latin1'));
  assert.ok(isSame, 'the bodies differ');
});

/** Kinds of holders as the metrics name them, with the bytes that they have. */
const HELD_BYTES = /^chicorycourse_held_bytes\{kind="([\w-]+)"\} (\d+)$/gm;

Then('no memory is held for bodies', async function (this: World) {
  const {vms} = stateOf(this).fleet;
  const addresses = vms.map(({daemon}) => daemon.boundAddresses.metrics);
  const heldKinds = async () => {
    const pages = addresses.map(async address =>
      (await fetch(`http://${address}/metrics`)).text(),
    );
    const lines = (await Promise.all(pages)).flatMap(text => [
      ...text.matchAll(HELD_BYTES),
    ]);
    return lines.filter(([, , bytes]) => bytes !== '0');
  };
  const isFree = async () => (await heldKinds()).length === 0;
  await until('no memory is held', isFree, SETTLE_MS);
});

/** What a router does after it announced a body, by event. */
const ROUTER_EVENTS: Readonly<
  Record<string, (router: RawRouter, bodyBytes: number) => Promise<void>>
> = {
  'disconnects after one part': async router => {
    await sendFirstPart(router);
    router.close();
  },
  'withdraws it after one part': async router => {
    await sendFirstPart(router);
    router.send({kind: 'withdraw', id: RUN_ID});
  },
  'sends more than it announced': async (router, bodyBytes) => {
    await router.waitFor('body-accept');
    const bytes = Buffer.alloc(bodyBytes + 1);
    router.send({kind: 'body-part', id: RUN_ID, bytes});
    await until('it is cut off', () => router.isClosed, SETTLE_MS);
  },
  'announces a size of -1 bytes': async router => {
    const frame = await router.waitFor('outcome');
    assert.ok(frame.kind === 'outcome' && frame.outcome.kind === 'not-run');
  },
};

async function sendFirstPart(router: RawRouter): Promise<void> {
  await router.waitFor('body-accept');
  const bytes = Buffer.alloc(PART_BYTES);
  router.send({kind: 'body-part', id: RUN_ID, bytes});
  await router.waitFor('body-ack');
}

When(
  /^a router announces a body of (\d+) bytes to VM 1 and (.+)$/,
  async function (this: World, size: string, event: string) {
    const {address} = stateOf(this).fleet.vm(1).daemon.self;
    const router = await RawRouter.connect(address);
    partsOf(this).router = router;
    await router.reserve(SERVICE);
    const isInvalid = event.startsWith('announces');
    router.send({
      kind: 'run-parts',
      id: RUN_ID,
      work: router.workOf(BODY_FOLLOWS),
      bodyBytes: isInvalid ? -1 : Number(size),
    });
    await ROUTER_EVENTS[event]?.(router, Number(size));
  },
);

/** What a router does once a response in parts is announced, by event. */
const RESPONSE_EVENTS: Readonly<
  Record<string, (router: RawRouter) => Promise<unknown>>
> = {
  'disconnects after one part': async router => {
    router.send({kind: 'body-accept', id: RUN_ID});
    await router.waitFor('body-part');
    router.close();
  },
  'withdraws it after one part': async router => {
    router.send({kind: 'body-accept', id: RUN_ID});
    await router.waitFor('body-part');
    router.send({kind: 'withdraw', id: RUN_ID});
  },
  'never accepts it': router => router.waitFor('outcome'),
};

When(
  /^a router gets a response of (\d+) bytes from VM 1 and (.+)$/,
  async function (this: World, size: string, event: string) {
    const {address} = stateOf(this).fleet.vm(1).daemon.self;
    const router = await RawRouter.connect(address);
    partsOf(this).router = router;
    const vm = {id: 'raw', failureDomain: 'test', address: '127.0.0.1:9'};
    router.send({kind: 'hello', vm, takesParts: true});
    await router.reserve(SERVICE);
    const work = router.workOf(Buffer.alloc(Number(size)));
    router.send({kind: 'run', id: RUN_ID, work});
    await router.waitFor('outcome-parts');
    await RESPONSE_EVENTS[event]?.(router);
  },
);

async function startAtRawGate(
  world: World,
  closesWithinBodies: boolean,
): Promise<void> {
  const {fleet} = stateOf(world);
  await fleet.start(['other'], 1);
  const base = configuration(1);
  const limits = {...base.limits, maxBodyBytes: MAX_BODY_BYTES};
  fleet.configure({...base, limits});
  const backend = {
    instance: 'instance-raw',
    service: SERVICE,
    state: 'ready',
    slots: 4,
    isCold: false,
    trust: 'clear',
    running: 0,
    waiting: 0,
  } as const;
  const status = {backend, isStopping: false, configurationVersion: 1};
  const gate = await RawGate.start({status, closesWithinBodies});
  partsOf(world).gate = gate;
  const {daemon} = fleet.vm(0);
  const raw = {id: 'raw', failureDomain: 'test', address: gate.address};
  daemon.peers.applyList([daemon.self, raw]);
  const isKnown = () => daemon.peers.links.some(({status}) => status?.backend);
  await until('the gate is known', isKnown, CONNECT_TIMEOUT_MS);
}

Given(
  'a mesh fleet whose only instance of the service is at an older gate',
  function (this: World) {
    return startAtRawGate(this, false);
  },
);

Given(
  'a mesh fleet whose only instance of the service is at a gate that disconnects within bodies',
  function (this: World) {
    return startAtRawGate(this, true);
  },
);

/** Kinds of frames that daemons knew before bodies were sent in parts. */
const OLDER_KINDS: ReadonlySet<RequestFrame['kind'] | ResponseFrame['kind']> =
  new Set([
    'hello',
    'reserve',
    'withdraw',
    'run',
    'share',
    'repeat',
    'part',
    'payment',
    'configuration',
    'status',
    'load',
    'fingerprints',
    'queued',
    'reserved',
    'declined',
    'outcome',
  ]);

Then('the older gate got only frames that it knows', function () {
  const kinds = partsOf(this).gate?.received.map(({kind}) => kind) ?? [];
  assert.ok(kinds.includes('run'));
  kinds.forEach(kind => assert.ok(OLDER_KINDS.has(kind), kind));
});

Then('the older gate got no request', function () {
  const kinds = partsOf(this).gate?.received.map(({kind}) => kind) ?? [];
  assert.ok(kinds.includes('reserve'));
  assert.ok(!kinds.includes('run') && !kinds.includes('run-parts'));
});

When(
  'an older router sends a body of {int} bytes to VM 1',
  async function (this: World, bodyBytes: number) {
    const {address} = stateOf(this).fleet.vm(1).daemon.self;
    const router = await RawRouter.connect(address);
    const body = randomFillSync(Buffer.alloc(bodyBytes));
    Object.assign(partsOf(this), {router, sent: body});
    const vm = {id: 'old', failureDomain: 'test', address: '127.0.0.1:9'};
    router.send({kind: 'hello', vm});
    await router.reserve(SERVICE);
    router.send({kind: 'run', id: RUN_ID, work: router.workOf(body)});
    await router.waitFor('outcome');
  },
);

Then(
  'it gets the body back in one frame, and only frames that it knows',
  function () {
    const {router, sent} = partsOf(this);
    assert.ok(router && sent);
    const outcome = router.received.find(({kind}) => kind === 'outcome');
    const isAnswered =
      outcome?.kind === 'outcome' && outcome.outcome.kind === 'answered';
    assert.ok(isAnswered && sent.equals(outcome.outcome.body));
    // A frame of an unknown kind without an id is skipped by older daemons.
    router.received
      .filter(frame => 'id' in frame)
      .forEach(({kind}) => assert.ok(OLDER_KINDS.has(kind), kind));
  },
);
