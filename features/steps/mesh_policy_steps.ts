/** Steps for the policies of a mesh fleet; none of them uses a network. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {BackendIdentity} from '../../src/mesh/gate/backend_identity.js';
import {ResponseTimes} from '../../src/mesh/gate/response_times.js';
import {SlotQueue} from '../../src/mesh/gate/slot_queue.js';
import {OutlierDetector} from '../../src/mesh/gate/outlier_detector.js';
import type {Trust} from '../../src/mesh/model.js';
import {
  rankCandidates,
  type Candidate,
} from '../../src/mesh/router/gate_ranking.js';
import {queueTimeoutMs} from '../../src/mesh/gate/queue_timeout.js';
import {computeRetryAfterMs} from '../../src/mesh/router/retry_after.js';
import {StartupDelay} from '../../src/mesh/router/startup_delay.js';
import {blockFor} from '../support/late_event_loop.js';
import {RepeatLoad} from '../support/repeat_load.js';
import {
  SimulatedRateFleet,
  type RateEvent,
} from '../support/simulated_rate_fleet.js';

interface Wait {
  readonly priority: number;
  readonly result: 'slot' | 'declined';
  readonly afterMs: number;
}

/** State of one scenario. */
interface PolicyState {
  readonly suspicion: OutlierDetector;
  readonly times: ResponseTimes;
  readonly identity: BackendIdentity;
  readonly queue: SlotQueue;
  nowMs: number;
  holdMs: number;
  nearRunning: number;
  waits: readonly Wait[];
  retriesAtMs: readonly number[];
  daemons: SimulatedRateFleet;
  delay: StartupDelay | undefined;
  callerTimeoutMs: number;
  delayedMs: number;
  wasPeerKnown: boolean;
  queueTimeoutMs: number;
  readonly repeats: RepeatLoad;
  requestsPerS: number;
}

const states = new WeakMap<object, PolicyState>();

function stateOf(world: object): PolicyState {
  const known = states.get(world);
  if (known) return known;
  const state = {
    suspicion: new OutlierDetector(),
    times: new ResponseTimes(),
    identity: new BackendIdentity(),
    queue: new SlotQueue(),
    nowMs: 0,
    holdMs: 0,
    nearRunning: 0,
    waits: [],
    retriesAtMs: [],
    daemons: new SimulatedRateFleet(1, {perS: 1, burst: 1}),
    repeats: new RepeatLoad(),
    requestsPerS: 0,
    delay: undefined,
    callerTimeoutMs: Infinity,
    delayedMs: 0,
    wasPeerKnown: false,
    queueTimeoutMs: 0,
  };
  states.set(world, state);
  return state;
}

const ROUTE = 'route';
const OBJECTIVE_MS = 1000;
const SAMPLES = 50;
const SLOTS = 3;

function candidate(changes: {
  readonly isNear: boolean;
  readonly running: number;
  readonly trust?: Trust;
}): Candidate {
  const {isNear, running, trust = 'clear'} = changes;
  return {
    isLocal: false,
    isSameDomain: isNear,
    outstanding: 0,
    backend: {
      instance: isNear ? 'near' : 'far',
      service: 'pay',
      state: 'ready',
      slots: SLOTS,
      isCold: false,
      trust,
      running,
      waiting: 0,
    },
  };
}

Given(
  'an instance whose requests usually take {int} ms',
  function (usualMs: number) {
    const {times} = stateOf(this);
    Array.from({length: SAMPLES}, (_, i) =>
      times.addSample(ROUTE, usualMs * (i % 2 === 0 ? 0.8 : 1.2)),
    );
  },
);

When('one request is unanswered after {int} ms', function (afterMs: number) {
  const state = stateOf(this);
  const lateMs = state.times.lateAfterMs(ROUTE, OBJECTIVE_MS);
  assert.ok(lateMs < afterMs, `late only after ${lateMs} ms`);
  state.nowMs = afterMs;
  state.suspicion.recordLate('r-1', lateMs);
});

When('one request has hung until it failed', function () {
  const state = stateOf(this);
  state.suspicion.recordLate('r-1', state.nowMs);
  state.suspicion.recordEnd('r-1', false, state.nowMs);
});

When('the late request succeeds', function () {
  const state = stateOf(this);
  state.suspicion.recordEnd('r-1', true, state.nowMs);
  state.suspicion.recordSuccess(0, state.nowMs);
});

When(
  /^(?:(\d+) ms later one|one more) request succeeds$/,
  function (laterMs: string | undefined) {
    const state = stateOf(this);
    state.nowMs += Number(laterMs ?? 0);
    state.suspicion.recordSuccess(state.nowMs, state.nowMs);
  },
);

Then(
  /^the instance is (?:on )?(suspect|probation|clear)$/,
  function (trust: Trust) {
    const {suspicion, nowMs} = stateOf(this);
    assert.equal(suspicion.trust(nowMs), trust);
  },
);

Then(
  /^a request that needs an answering instance is (accepted|rejected) while (\d+) others run$/,
  function (decision: string, running: string) {
    const {suspicion, nowMs} = stateOf(this);
    const isIdle = Number(running) === 0;
    const isAccepted = suspicion.assures('answering', isIdle, nowMs);
    assert.equal(isAccepted, decision === 'accepted');
  },
);

When('{int} ms pass without an answer', function (forMs: number) {
  stateOf(this).nowMs += forMs;
});

Then(
  'non-idempotent requests prefer an instance with a longer queue',
  function () {
    const {suspicion, nowMs} = stateOf(this);
    const trust = suspicion.trust(nowMs);
    const [first] = rankCandidates(
      [
        candidate({isNear: true, running: 0, trust}),
        candidate({isNear: true, running: SLOTS + 1}),
      ],
      {isIdempotent: false, bodyBytes: 0},
      () => 0,
    );
    assert.equal(first?.backend.trust, 'clear');
  },
);

Given('a near and a far instance with {int} slots each', (slots: number) =>
  assert.equal(slots, SLOTS),
);

When('the near instance has {int} requests', function (running: number) {
  stateOf(this).nearRunning = running;
});

Then(/^the (near|far) instance is chosen$/, function (chosen: string) {
  const near = candidate({
    isNear: true,
    running: stateOf(this).nearRunning,
  });
  const far = candidate({isNear: false, running: 1});
  const [first] = rankCandidates(
    [far, near],
    {isIdempotent: true, bodyBytes: 0},
    () => 0,
  );
  assert.equal(first?.backend.instance, chosen);
});

Given(
  'an instance with {int} slots that are held for {int} ms each',
  async function (slots: number, holdMs: number) {
    const state = stateOf(this);
    state.queue.resize(slots);
    state.holdMs = holdMs;
    // The queue needs the mean hold time before it can predict waits.
    await Promise.all(
      Array.from({length: slots * 3}, () =>
        take(state, {priority: 0, queueTimeoutMs: holdMs * 100}),
      ),
    );
  },
);

async function take(
  state: PolicyState,
  waiter: {readonly priority: number; readonly queueTimeoutMs: number},
): Promise<Wait> {
  const startedAtMs = performance.now();
  const {signal} = new AbortController();
  const slot = await state.queue.acquire({...waiter, signal});
  const afterMs = performance.now() - startedAtMs;
  const {priority} = waiter;
  if (slot.kind === 'declined') return {priority, result: 'declined', afterMs};
  setTimeout(() => slot.release(), state.holdMs);
  return {priority, result: 'slot', afterMs};
}

When(
  'requests of priority {int}, {int}, {int} and {int} wait',
  async function (a: number, b: number, c: number, d: number) {
    const state = stateOf(this);
    const order: Wait[] = [];
    const timeoutMs = 10_000;
    void take(state, {priority: 0, queueTimeoutMs: timeoutMs});
    await Promise.all(
      [a, b, c, d].map(async priority => {
        order.push(await take(state, {priority, queueTimeoutMs: timeoutMs}));
      }),
    );
    state.waits = order;
  },
);

Then(
  'they get their slots in the order {int}, {int}, {int}, {int}',
  function (a: number, b: number, c: number, d: number) {
    const priorities = [a, b, c, d];
    const {waits} = stateOf(this);
    assert.deepEqual(
      waits.map(({priority}) => priority),
      priorities,
    );
  },
);

When(
  '{int} requests of priority {int} wait',
  function (count: number, priority: number) {
    const state = stateOf(this);
    Array.from({length: count}, () => {
      void take(state, {priority, queueTimeoutMs: 10_000});
    });
  },
);

When(
  'a request of priority {int} arrives that can wait for {int} ms',
  async function (priority: number, timeoutMs: number) {
    const state = stateOf(this);
    state.waits = [await take(state, {priority, queueTimeoutMs: timeoutMs})];
  },
);

Then('it gets a slot within {int} ms', function (withinMs: number) {
  const [wait] = stateOf(this).waits;
  assert.equal(wait?.result, 'slot');
  assert.ok(wait.afterMs <= withinMs, `after ${wait.afterMs} ms`);
});

When(
  'a request has {int} ms left, an objective of {int} ms and usually takes {int} ms',
  function (leftMs: number, objectiveMs: number, usualMs: number) {
    stateOf(this).queueTimeoutMs = queueTimeoutMs(objectiveMs, leftMs, usualMs);
  },
);

Then('its queue timeout is {int} ms', function (timeoutMs: number) {
  assert.equal(stateOf(this).queueTimeoutMs, timeoutMs);
});

When(
  '{int} requests arrive that can wait for {int} ms',
  async function (count: number, timeoutMs: number) {
    const state = stateOf(this);
    state.waits = await Promise.all(
      Array.from({length: count}, () =>
        take(state, {priority: 0, queueTimeoutMs: timeoutMs}),
      ),
    );
  },
);

Then(
  "those that can't get a slot in time are declined within {int} ms",
  function (withinMs: number) {
    const declined = stateOf(this).waits.filter(w => w.result === 'declined');
    assert.ok(declined.length > 0);
    declined.forEach(({afterMs}) => assert.ok(afterMs <= withinMs));
  },
);

Then('the others get a slot within {int} ms', function (withinMs: number) {
  const held = stateOf(this).waits.filter(w => w.result === 'slot');
  assert.ok(held.length > 0);
  held.forEach(({afterMs}) => assert.ok(afterMs <= withinMs, `${afterMs}`));
});

When(
  '{int} requests are refused with a wait of {int} ms and {int} ms left',
  function (count: number, waitMs: number, leftMs: number) {
    // Evenly spread numbers replace random ones to make the test deterministic.
    stateOf(this).retriesAtMs = Array.from({length: count}, (_, index) =>
      computeRetryAfterMs(waitMs, leftMs, () => index / count),
    );
  },
);

Then(
  'none is retried before {int} ms or after {int} ms',
  function (minMs: number, maxMs: number) {
    stateOf(this).retriesAtMs.forEach(ms => {
      assert.ok(ms >= minMs && ms <= maxMs);
    });
  },
);

Then(
  'no {int} ms window has more than {int} retries',
  function (spanMs: number, most: number) {
    const {retriesAtMs} = stateOf(this);
    retriesAtMs.forEach(from => {
      const inSpan = retriesAtMs.filter(ms => ms >= from && ms < from + spanMs);
      assert.ok(inSpan.length <= most);
    });
  },
);

Given(
  '{int} daemons that share a rate of {int} per second and a burst of {int}',
  function (count: number, perS: number, burst: number) {
    stateOf(this).daemons = new SimulatedRateFleet(count, {perS, burst});
  },
);

When(
  /^every daemon requests (\d+) tokens per second and halfway through (.+)$/,
  async function (perS: string, event: RateEvent) {
    await stateOf(this).daemons.run(Number(perS), event);
  },
);

Then('no 5 second window grants more than the tolerance allows', function () {
  const {daemons} = stateOf(this);
  const {most, allowed} = daemons.busiestWindow();
  assert.ok(most <= allowed, `${most} granted, ${allowed} allowed`);
});

Then(
  'at least {int} percent of the rate is granted from then on',
  function (percent: number) {
    const part = stateOf(this).daemons.grantedShare();
    assert.ok(part >= percent / 100, `${part} of the rate`);
  },
);

Given('a service with {int} requests per second', function (perS: number) {
  stateOf(this).requestsPerS = perS;
});

When(
  '{int} calls per second, half of them by repeats, and {int} failures per second arrive for {int} seconds',
  async function (calls: number, failed: number, seconds: number) {
    const {repeats, requestsPerS} = stateOf(this);
    const rates = {requests: requestsPerS, calls, failed};
    await repeats.run(rates, seconds * 1000);
  },
);

Then(
  'no 10 second window has more repeats than the operators allow',
  function () {
    const {repeats, requestsPerS} = stateOf(this);
    const most = Math.max(...repeats.usedShares(requestsPerS));
    assert.ok(most <= 1, `${most} of what is allowed`);
  },
);

Then(
  'some 10 second window has at least {int} in {int} of the allowed repeats',
  function (part: number, whole: number) {
    const {repeats, requestsPerS} = stateOf(this);
    const most = Math.max(...repeats.usedShares(requestsPerS));
    assert.ok(most >= part / whole, `${most} of what is allowed`);
  },
);

Given(
  'a daemon that started {int} ms ago and knows no peer',
  async function (agoMs: number) {
    const delay = new StartupDelay([]);
    delay.begin();
    stateOf(this).delay = delay;
    await sleep(agoMs);
  },
);

Given(
  'a daemon that was busy for the first {int} ms of its start',
  async function (busyMs: number) {
    const delay = new StartupDelay([]);
    delay.begin();
    stateOf(this).delay = delay;
    // The timers run next after an immediate, and the reads after them.
    await new Promise(resolve => setImmediate(resolve));
    blockFor(busyMs);
  },
);

Given(
  'a daemon that found its configuration {int} ms and its peers {int} ms after its start',
  async function (configuredMs: number, listedMs: number) {
    const startedAtMs = performance.now();
    const isKnownAfter = (ms: number) => () =>
      performance.now() - startedAtMs >= ms;
    const delay = new StartupDelay([configuredMs, listedMs].map(isKnownAfter));
    delay.begin();
    stateOf(this).delay = delay;
    await sleep(listedMs);
  },
);

Given('a caller that waits for {int} ms', function (timeoutMs: number) {
  stateOf(this).callerTimeoutMs = timeoutMs;
});

async function delayRequest(
  state: PolicyState,
  knownAfterMs: number,
  callerSignal: AbortSignal,
): Promise<void> {
  const arrivedAtMs = performance.now();
  const isKnown = () => performance.now() - arrivedAtMs >= knownAfterMs;
  const deadlineAtMs = arrivedAtMs + state.callerTimeoutMs;
  const limits = {callerSignal, deadlineAtMs};
  await state.delay?.waitUntil(isKnown, limits);
  state.delayedMs = performance.now() - arrivedAtMs;
  state.wasPeerKnown = isKnown();
  state.delay?.stop();
}

When(
  'a request arrives and a peer becomes known {int} ms later',
  async function (knownAfterMs: number) {
    await delayRequest(
      stateOf(this),
      knownAfterMs,
      new AbortController().signal,
    );
  },
);

When('a request arrives and no peer becomes known', async function () {
  await delayRequest(stateOf(this), Infinity, new AbortController().signal);
});

When('a request arrives whose caller has disconnected', async function () {
  await delayRequest(stateOf(this), Infinity, AbortSignal.abort());
});

Then('the request continues once a peer is known', function () {
  assert.ok(stateOf(this).wasPeerKnown);
});

Then('the request continues within {int} ms', function (withinMs: number) {
  const {delayedMs} = stateOf(this);
  assert.ok(delayedMs <= withinMs, `delayed for ${delayedMs} ms`);
});

function announce(
  world: object,
  instance: string,
  startedAtUnixMs: number,
  state: 'ready' | 'draining',
  sequence: number,
): void {
  stateOf(world).identity.applyHeartbeat(
    {
      instance,
      service: 'pay',
      state,
      slots: SLOTS,
      coldForMs: 0,
      startedAtUnixMs,
      sequence,
    },
    0,
  );
}

Given(
  'an instance {string} started at {int} that reports {string} with sequence {int}',
  function (instance: string, at: number, state: 'ready', sequence: number) {
    announce(this, instance, at, state, sequence);
  },
);

When(
  '{string} started at {int} reports {string} with sequence {int}',
  function (instance: string, at: number, state: 'ready', sequence: number) {
    announce(this, instance, at, state, sequence);
  },
);

When('{string} leaves', function (instance: string) {
  stateOf(this).identity.markLeaving(instance);
});

Then(
  'the known instance is {string} and {string}',
  function (instance: string, state: string) {
    const {known} = stateOf(this).identity;
    assert.deepEqual([known?.instance, known?.state], [instance, state]);
  },
);
