/** Steps for the shares of customers, in virtual time. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {buildCustomerWeights} from '../../src/mesh/gate/customer_weights.js';
import {HoldTimes} from '../../src/mesh/gate/hold_times.js';
import type {CustomerShares} from '../../src/mesh/gate/queue_place.js';
import {SlotQueue, type Slot} from '../../src/mesh/gate/slot_queue.js';
import {
  estimateWaitMs,
  usualWaitMs,
} from '../../src/mesh/gate/wait_estimate.js';
import type {Declined} from '../../src/mesh/gate/work.js';
import {SeededRandom} from '../support/seeded_random.js';
import {
  SimulatedGate,
  type Arrival,
  type Ended,
} from '../support/simulated_gate.js';
import {configuration} from './mesh_path_steps.js';

interface SharingState {
  slots: number;
  customerShares: CustomerShares;
  readonly random: SeededRandom;
  readonly weights: Map<string, number>;
  variesHolds: boolean;
  /** Requests that wait before the load begins. */
  backlog: readonly Arrival[];
  ended: readonly Ended[];
  fromMs: number;
  holdTimes: HoldTimes;
  queue: SlotQueue;
  /** The slots that requests hold at the beginning. */
  busy: readonly (Slot | Declined)[];
  order: readonly string[];
  expectedMs: number;
  /** The mean of the real waits. */
  waitedMs: number;
}

const SEED = 70;
const HOT = 'hot';
/** The mean work of a purchase, and the time that it may wait. */
const HOLD_MS = 500;
const OBJECTIVE_MS = 2000;
/** Long enough for no request to give up. */
const NO_TIMEOUT_MS = 1e9;

const states = new WeakMap<object, SharingState>();

function stateOf(world: object): SharingState {
  const known = states.get(world);
  if (known) return known;
  const state = {
    slots: 1,
    customerShares: 'equal',
    random: new SeededRandom(SEED),
    weights: new Map<string, number>(),
    variesHolds: false,
    backlog: [],
    ended: [],
    fromMs: 0,
    holdTimes: new HoldTimes(),
    queue: new SlotQueue(),
    busy: [],
    order: [],
    expectedMs: 0,
    waitedMs: 0,
  } as const satisfies SharingState;
  states.set(world, state);
  return state;
}

/** Arrivals at random times, with the given mean rate. */
function poisson(
  random: SeededRandom,
  {perS, forS}: {readonly perS: number; readonly forS: number},
  build: (atMs: number) => Arrival,
): readonly Arrival[] {
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (exponential(random) / perS) * 1000;
    if (atMs >= forS * 1000) return arrivals;
    arrivals.push(build(atMs));
  }
}

/** Exponentially distributed with the mean 1. */
function exponential(random: SeededRandom): number {
  return -Math.log(1 - random.next());
}

function runLoad(
  state: SharingState,
  load: readonly Arrival[],
  options: {
    readonly refuses?: boolean;
    readonly learnedMs?: Readonly<Record<string, number>>;
  } = {},
): void {
  const {slots, customerShares, weights} = state;
  const weightOf = (customer: string) => weights.get(customer) ?? 1;
  const gate = new SimulatedGate({slots, customerShares, weightOf, ...options});
  state.ended = gate.run([...state.backlog, ...load]);
}

function rateOf(
  ended: readonly Ended[],
  isCounted: (ended: Ended) => boolean,
): number {
  const counted = ended.filter(isCounted);
  assert.ok(counted.length > 0);
  return (
    counted.filter(({result}) => result === 'slot').length / counted.length
  );
}

const isOther = ({arrival}: Ended) => arrival.customer !== HOT;

Given(
  'an instance with {int} slots and customer shares {string}',
  function (slots: number, customerShares: CustomerShares) {
    Object.assign(stateOf(this), {slots, customerShares});
  },
);

Given(
  'customer {string} has weight {int}',
  function (customer: string, weight: number) {
    stateOf(this).weights.set(customer, weight);
  },
);

When(
  '{int} customers send {int} requests per second together, and one large customer {int}, for {int} s',
  function (others: number, otherPerS: number, hotPerS: number, forS: number) {
    const state = stateOf(this);
    const {random} = state;
    const build = (customer: string, atMs: number) => ({
      atMs,
      customer,
      holdMs: HOLD_MS * (0.5 + random.next()),
      queueTimeoutMs: OBJECTIVE_MS,
    });
    const pick = () => `customer-${Math.floor(random.next() * others)}`;
    runLoad(state, [
      ...poisson(random, {perS: otherPerS, forS}, at => build(pick(), at)),
      ...poisson(random, {perS: hotPerS, forS}, at => build(HOT, at)),
    ]);
  },
);

Then(
  /^at (least|most) (\d+) in 100 requests of the other customers get a slot$/,
  function (bound: 'least' | 'most', percent: string) {
    const share = 100 * rateOf(stateOf(this).ended, isOther);
    const isWithin =
      bound === 'least' ? share >= Number(percent) : share <= Number(percent);
    assert.ok(isWithin, `${share}`);
  },
);

Then(
  'the other customers wait {int} ms on average at most',
  function (mostMs: number) {
    const others = stateOf(this).ended.filter(isOther);
    const sumMs = others.reduce((sum, {waitedMs}) => sum + waitedMs, 0);
    assert.ok(sumMs / others.length <= mostMs, `${sumMs / others.length}`);
  },
);

Then('the slots are at least {int} % in use', function (percent: number) {
  const {ended, slots} = stateOf(this);
  const started = ended.filter(({result}) => result === 'slot');
  const heldMs = started.reduce((sum, {arrival}) => sum + arrival.holdMs, 0);
  const lastMs = Math.max(...started.map(({endedAtMs}) => endedAtMs));
  const used = (100 * heldMs) / (lastMs * slots);
  assert.ok(used >= percent, `${used}`);
});

const LOOKUP = {route: 'lookup', queueTimeoutMs: 670} as const;
const READ = {route: 'read', queueTimeoutMs: 8600} as const;

When(
  'one customer sends {int} lookups of {int} ms and {int} read(s) of {int} ms per second for {int} s',
  function (
    lookups: number,
    lookupMs: number,
    reads: number,
    readMs: number,
    forS: number,
  ) {
    const state = stateOf(this);
    const {random} = state;
    const customer = 'one';
    const learnedMs = {lookup: lookupMs, read: readMs};
    const load = [
      ...poisson(random, {perS: lookups, forS}, atMs => ({
        ...LOOKUP,
        customer,
        atMs,
        holdMs: lookupMs,
      })),
      ...Array.from({length: reads * forS}, (_, index) => ({
        ...READ,
        customer,
        atMs: (index * 1000) / reads,
        holdMs: readMs,
      })),
    ];
    runLoad(state, load, {learnedMs});
  },
);

Then('at least {int} in 100 lookups get a slot', function (percent: number) {
  const isLookup = ({arrival}: Ended) => arrival.route === LOOKUP.route;
  const share = 100 * rateOf(stateOf(this).ended, isLookup);
  assert.ok(share >= percent, `${share}`);
});

function readsOf(world: object): readonly Ended[] {
  const reads = stateOf(world).ended.filter(
    ({arrival}) => arrival.route === READ.route,
  );
  assert.ok(reads.length > 0);
  return reads;
}

Then('every read gets a slot', function () {
  readsOf(this).forEach(({result}) => assert.equal(result, 'slot'));
});

Then('no read waits longer than {int} ms', function (mostMs: number) {
  const longestMs = Math.max(...readsOf(this).map(({waitedMs}) => waitedMs));
  assert.ok(longestMs <= mostMs, `${longestMs}`);
});

Then(
  /^a customer with a weight of (\S+) has no weight of its own$/,
  (weight: string) => {
    const customer = {name: 'odd', keys: [], ratePerS: 0, burst: 0};
    const valid = {...customer, name: 'heavy', weight: 3};
    const customers = [{...customer, weight: Number(weight)}, valid];
    const weights = buildCustomerWeights({...configuration(1), customers});
    assert.deepEqual([...weights], [['heavy', 3]]);
  },
);

/** Requests that are enough to keep all slots of the scenarios busy. */
function flood(
  customer: string,
  {
    fromS,
    forS,
    holdMs = HOLD_MS,
  }: {
    readonly fromS: number;
    readonly forS: number;
    readonly holdMs?: number;
  },
): readonly Arrival[] {
  return Array.from({length: forS * 20}, (_, index) => ({
    atMs: fromS * 1000 + index * 50,
    customer,
    holdMs,
    queueTimeoutMs: NO_TIMEOUT_MS,
  }));
}

const PAUSE_S = 30;
const WINDOW_S = 10;

When(
  /^"steady" always has requests waiting, and "returning" has none for 30 s, then as many$/,
  function () {
    const state = stateOf(this);
    state.fromMs = PAUSE_S * 1000;
    runLoad(state, [
      ...flood('returning', {fromS: 0, forS: 1}),
      ...flood('steady', {fromS: 0, forS: PAUSE_S + WINDOW_S}),
      ...flood('returning', {fromS: PAUSE_S, forS: WINDOW_S}),
    ]);
  },
);

When(
  '"early" sends {int} requests per second alone for {int} s, then it and "late" always have requests waiting',
  function (perS: number, forS: number) {
    const state = stateOf(this);
    state.fromMs = forS * 1000;
    runLoad(state, [
      ...Array.from({length: perS * forS}, (_, index) => ({
        atMs: (index * 1000) / perS,
        customer: 'early',
        holdMs: HOLD_MS,
        queueTimeoutMs: NO_TIMEOUT_MS,
      })),
      ...flood('early', {fromS: forS, forS: WINDOW_S}),
      ...flood('late', {fromS: forS, forS: WINDOW_S}),
    ]);
  },
);

Then(
  'in the {int} s after the return, each of both gets between {int} and {int} in 100 slots',
  function (windowS: number, least: number, most: number) {
    const {ended, fromMs} = stateOf(this);
    const inWindow = ended.filter(
      ({endedAtMs}) =>
        endedAtMs >= fromMs && endedAtMs < fromMs + windowS * 1000,
    );
    const customers = new Set(inWindow.map(({arrival}) => arrival.customer));
    assert.equal(customers.size, 2);
    customers.forEach(customer => {
      const own = inWindow.filter(({arrival}) => arrival.customer === customer);
      const share = (100 * own.length) / inWindow.length;
      assert.ok(share >= least && share <= most, `${customer}: ${share}`);
    });
  },
);

When(
  '{string} and {string} always have requests waiting for {int} s',
  function (a: string, b: string, forS: number) {
    const state = stateOf(this);
    state.fromMs = forS * 1000;
    const load = {fromS: 0, forS, holdMs: 200};
    runLoad(state, [...flood(a, load), ...flood(b, load)]);
  },
);

Then(
  '{string} gets between {float} and {float} times the slots of {string}',
  function (a: string, least: number, most: number, b: string) {
    const {ended, fromMs} = stateOf(this);
    const countOf = (customer: string) =>
      ended.filter(
        ({arrival, endedAtMs}) =>
          arrival.customer === customer && endedAtMs < fromMs,
      ).length;
    const ratio = countOf(a) / countOf(b);
    assert.ok(ratio >= least && ratio <= most, `${ratio}`);
  },
);

Given(
  '{int} requests of one customer that wait, with hold times of {int} ms',
  function (count: number, holdMs: number) {
    stateOf(this).backlog = Array.from({length: count}, () => ({
      atMs: 0,
      customer: HOT,
      holdMs,
      queueTimeoutMs: NO_TIMEOUT_MS,
    }));
  },
);

When('{int} customers send one request each', function (count: number) {
  const state = stateOf(this);
  const holdMs = state.backlog[0]?.holdMs ?? 0;
  const load = Array.from({length: count}, (_, index) => ({
    atMs: 1,
    customer: `customer-${index}`,
    holdMs,
    queueTimeoutMs: NO_TIMEOUT_MS,
  }));
  runLoad(state, load, {learnedMs: {route: holdMs}});
});

Then(
  'each of the {int} gets a slot within {int} ms, in the order of arrival',
  function (count: number, withinMs: number) {
    const singles = stateOf(this).ended.filter(isOther);
    assert.deepEqual(
      singles.map(({arrival}) => arrival.customer),
      Array.from({length: count}, (_, index) => `customer-${index}`),
    );
    singles.forEach(({waitedMs}) =>
      assert.ok(waitedMs <= withinMs, `${waitedMs}`),
    );
  },
);

Given(
  'hold times that vary exponentially around the mean of their route',
  function () {
    stateOf(this).variesHolds = true;
  },
);

/** Of ten requests, six are lookups, three bookings and one is a read. */
const MIX = {lookup: 6, booking: 3, read: 1} as const;
const MIXED_LOAD_S = 300;
const CUSTOMERS = 12;

When(
  'lookups of {int} ms, bookings of {int} ms and reads of {int} ms arrive at {int} % of its capacity',
  function (lookup: number, booking: number, read: number, percent: number) {
    const state = stateOf(this);
    const {random, slots, variesHolds} = state;
    const learnedMs = {lookup, booking, read};
    const routes = Object.entries(MIX).flatMap(([route, count]) =>
      Array<keyof typeof MIX>(count).fill(route as keyof typeof MIX),
    );
    const meanMs =
      routes.reduce((sum, route) => sum + learnedMs[route], 0) / routes.length;
    const perS = ((slots * 1000) / meanMs) * (percent / 100);
    const load = poisson(random, {perS, forS: MIXED_LOAD_S}, atMs => {
      const route = routes[Math.floor(random.next() * routes.length)];
      assert.ok(route);
      const holdMs = learnedMs[route] * (variesHolds ? exponential(random) : 1);
      const number = Math.floor(random.next() ** 2 * CUSTOMERS);
      const customer = number === 0 ? undefined : `customer-${number}`;
      const priority = Math.floor(random.next() * 3);
      const queueTimeoutMs = NO_TIMEOUT_MS;
      return {atMs, route, holdMs, customer, priority, queueTimeoutMs};
    });
    // Nothing is refused, so that the real wait of every request is known.
    runLoad(state, load, {refuses: false, learnedMs});
  },
);

When(
  'a request arrives just after {int} bookings of {int} ms have started, {int} times',
  function (count: number, meanMs: number, times: number) {
    const state = stateOf(this);
    const {random, slots} = state;
    const draw = () => meanMs * exponential(random);
    const waitsMs = Array.from({length: times}, () =>
      Math.min(...Array.from({length: count}, draw)),
    );
    const running = Array.from({length: count}, () => ({meanMs, heldMs: 0}));
    state.expectedMs = estimateWaitMs({slots, running, aheadMs: []});
    state.waitedMs = waitsMs.reduce((sum, ms) => sum + ms, 0) / times;
  },
);

Then(
  'it is expected to wait at most {float} times as long as it does on average',
  function (factor: number) {
    const {expectedMs, waitedMs} = stateOf(this);
    const figures = `${expectedMs} ms, ${waitedMs} ms`;
    assert.ok(expectedMs > 0 && expectedMs <= factor * waitedMs, figures);
  },
);

When(
  '{int} bookings of {int} ms have run for {int} ms, and {int} requests wait',
  function (count: number, meanMs: number, heldMs: number, waiting: number) {
    const state = stateOf(this);
    const {slots} = state;
    const running = Array.from({length: count}, () => ({meanMs, heldMs}));
    const aheadMs = Array<number>(waiting).fill(meanMs);
    state.expectedMs = estimateWaitMs({slots, running, aheadMs});
    state.waitedMs = usualWaitMs({slots, running, aheadMs});
  },
);

Then('a refused request gets a wait of {int} ms', function (ms: number) {
  assert.equal(Math.round(stateOf(this).waitedMs), ms);
});

Then('the estimate that decides refusals is {int} ms', function (ms: number) {
  assert.equal(Math.round(stateOf(this).expectedMs), ms);
});

/** Rounding, and the least wait that is expected while no slot is free. */
const TOLERANCE_MS = 1.001;

Then('no request waits less than expected on arrival', function () {
  const {ended} = stateOf(this);
  assert.ok(ended.filter(({expectedMs}) => expectedMs > 100).length > 100);
  ended.forEach(({waitedMs, expectedMs}) =>
    assert.ok(
      expectedMs <= waitedMs + TOLERANCE_MS,
      `expected ${expectedMs} ms, waited ${waitedMs} ms`,
    ),
  );
});

Then(
  'on average, requests wait at least as long as expected on arrival',
  function () {
    const {ended} = stateOf(this);
    const queued = ended.filter(({expectedMs}) => expectedMs > 0);
    assert.ok(queued.length > 100);
    const meanOf = (value: (e: Ended) => number) =>
      queued.reduce((sum, e) => sum + value(e), 0) / queued.length;
    const waitedMs = meanOf(e => e.waitedMs);
    const expectedMs = meanOf(e => e.expectedMs);
    assert.ok(expectedMs <= waitedMs, `${expectedMs} ms, ${waitedMs} ms`);
  },
);

Given(
  'an instance that holds lookups for {int} ms and reads for {int} ms',
  function (lookupMs: number, readMs: number) {
    const {holdTimes} = stateOf(this);
    holdTimes.addSample('lookup', lookupMs);
    holdTimes.addSample('read', readMs);
  },
);

Then(
  'a route without samples is expected to hold a slot for the mean of all routes',
  function () {
    const {holdTimes} = stateOf(this);
    const meanMs = holdTimes.meanMs('other');
    assert.ok(meanMs > holdTimes.meanMs('lookup'));
    assert.ok(meanMs < holdTimes.meanMs('read'));
  },
);

Then(
  '{int} lookups ahead at {int} busy slots are a shorter wait than {int} reads ahead',
  function (lookups: number, slots: number, reads: number) {
    const {holdTimes} = stateOf(this);
    const waitBehind = (route: string, count: number) =>
      estimateWaitMs({
        slots,
        running: Array.from({length: slots}, () => ({
          meanMs: holdTimes.meanMs('lookup'),
          heldMs: 0,
        })),
        aheadMs: Array<number>(count).fill(holdTimes.meanMs(route)),
      });
    assert.ok(waitBehind('lookup', lookups) < 600);
    assert.ok(waitBehind('read', reads) > 4000);
  },
);

Given(
  'a gate with customer shares {string} whose instance names a limit of {int} per second',
  function (customerShares: CustomerShares, limitPerS: number) {
    const queue = new SlotQueue({customerShares});
    queue.resize(8);
    queue.setLimit(limitPerS);
    stateOf(this).queue = queue;
  },
);

Given(
  'a gate with customer shares {string} and {int} busy slot(s)',
  async function (customerShares: CustomerShares, slots: number) {
    const state = stateOf(this);
    state.queue = new SlotQueue({customerShares});
    state.queue.resize(slots);
    state.busy = await Promise.all(
      Array.from({length: slots}, () => acquireSlot(state, 'busy').slot),
    );
  },
);

/** Waits for a slot, and can be withdrawn. */
function acquireSlot(
  {queue}: SharingState,
  customer: string,
): {
  readonly slot: ReturnType<SlotQueue['acquire']>;
  readonly withdraw: () => void;
} {
  const abort = new AbortController();
  const {signal} = abort;
  const waiter = {priority: 0, queueTimeoutMs: 10_000, signal, customer};
  return {slot: queue.acquire(waiter), withdraw: () => abort.abort()};
}

When(
  'a customer withdraws {int} of {int} requests, and another sends {int}',
  async function (withdrawn: number, count: number, others: number) {
    const state = stateOf(this);
    const order: string[] = [];
    const send = (customer: string, length: number) =>
      Array.from({length}, () => {
        const {slot, withdraw} = acquireSlot(state, customer);
        const ended = slot.then(result => {
          if (result.kind === 'declined') return;
          order.push(customer);
          result.release();
        });
        return {ended, withdraw};
      });
    const first = send('first', count);
    first.slice(0, withdrawn).forEach(({withdraw}) => withdraw());
    const all = [...first, ...send('second', others)];
    state.busy.forEach(slot => slot.kind === 'slot' && slot.release());
    await Promise.all(all.map(({ended}) => ended));
    state.order = order;
  },
);

Then('both get slots in turn', function () {
  const {order} = stateOf(this);
  assert.ok(order.length > 0);
  order.forEach((customer, index) =>
    assert.equal(customer, index % 2 === 0 ? 'first' : 'second'),
  );
});

When(
  'a customer has {int} requests waiting and another sends one',
  async function (count: number) {
    const state = stateOf(this);
    const order: string[] = [];
    const acquire = async (customer: string) => {
      const slot = await acquireSlot(state, customer).slot;
      order.push(customer);
      if (slot.kind === 'slot') slot.release();
    };
    const waits = Array.from({length: count}, () => acquire(HOT));
    await Promise.all([...waits, acquire('single')]);
    state.order = order;
  },
);

Then('that one gets a slot among the first {int}', function (first: number) {
  const {order} = stateOf(this);
  assert.ok(order.indexOf('single') < first, order.join(' '));
});
