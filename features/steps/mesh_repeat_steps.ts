/** Steps for the repeat budget; none of them uses a network. */
import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  busiestRepeats,
  type RepeatWindow,
} from '../../src/commands/repeat_windows.js';
import {CallReserve} from '../../src/mesh/limits/call_reserve.js';
import {TokenPool} from '../../src/mesh/limits/token_pool.js';
import {CallingBackend} from '../support/calling_backend.js';
import {
  SimulatedRepeatFleet,
  type RepeatFault,
} from '../support/simulated_repeat_fleet.js';

const poolOf = new WeakMap<object, TokenPool>();
const windowOf = new WeakMap<object, RepeatWindow | undefined>();
const daemonsOf = new WeakMap<object, SimulatedRepeatFleet>();
const backendOf = new WeakMap<object, CallingBackend>();

function daemons(world: object): SimulatedRepeatFleet {
  const known = daemonsOf.get(world);
  assert.ok(known);
  return known;
}

function backend(world: object): CallingBackend {
  const known = backendOf.get(world);
  assert.ok(known);
  return known;
}

Given('{int} daemons that share a repeat budget', function (count: number) {
  daemonsOf.set(this, new SimulatedRepeatFleet(count));
});

When(
  /^(\d+) requests and (\d+) failures per second arrive for (\d+) seconds while (.+)$/,
  async function (
    requests: string,
    failed: string,
    seconds: string,
    fault: RepeatFault,
  ) {
    const load = {requests: Number(requests), failed: Number(failed)};
    await daemons(this).run(load, Number(seconds) * 1000, fault);
  },
);

Given(
  '{int} daemons that share a repeat budget and keep {int} percent of it for calls',
  function (count: number, percent: number) {
    daemonsOf.set(this, new SimulatedRepeatFleet(count, percent / 100));
  },
);

When(
  /^(\d+) requests and (\d+) failures per second, of them (\d+) and (\d+) of calls, arrive for (\d+) seconds while (.+)$/,
  async function (
    requests: string,
    failed: string,
    calls: string,
    failedCalls: string,
    seconds: string,
    fault: RepeatFault,
  ) {
    const load = {
      requests: Number(requests),
      failed: Number(failed),
      calls: Number(calls),
      failedCalls: Number(failedCalls),
    };
    await daemons(this).run(load, Number(seconds) * 1000, fault);
  },
);

Then(
  /^at (least|most) (\d+) percent of the failed calls are repeated$/,
  function (bound: 'least' | 'most', percent: string) {
    const {wanted, granted} = daemons(this).calls;
    assert.ok(wanted > 0);
    const share = (100 * granted) / wanted;
    const isWithin =
      bound === 'least' ? share >= Number(percent) : share <= Number(percent);
    assert.ok(isWithin, `${share}`);
  },
);

Then('as many requests are repeated as without a reserve', async function () {
  const without = new SimulatedRepeatFleet(30);
  const load = {requests: 70, failed: 40};
  await without.run(load, 40_000, 'nothing fails');
  assert.ok(without.others.granted > 0);
  assert.deepEqual(daemons(this).others, without.others);
});

const reserveOf = new WeakMap<object, CallReserve>();

When(
  'a reserve of {int} percent has {int} tokens and gets calls until {int} ms',
  function (percent: number, tokens: number, untilMs: number) {
    const reserve = new CallReserve(percent / 100);
    reserve.recordTokens(tokens, Infinity, 0);
    reserve.recordCalls(untilMs);
    reserveOf.set(this, reserve);
  },
);

Then(
  'it keeps {int} tokens at {int} ms',
  function (tokens: number, at: number) {
    assert.equal(reserveOf.get(this)?.tokensAt(at), tokens);
  },
);

Then(
  'in any sequence of tokens and repeats, others leave the kept tokens, and calls take the last one',
  () => {
    const step = fc.record({
      tokens: fc.integer({min: 0, max: 3}),
      isCall: fc.boolean(),
      kept: fc.integer({min: 0, max: 5}),
    });
    const property = fc.property(fc.array(step, {maxLength: 60}), steps => {
      const pool = new TokenPool();
      steps.forEach(({tokens, isCall, kept}, nowMs) => {
        if (tokens > 0) pool.add(tokens, nowMs + 10, nowMs);
        const before = pool.availableAt(nowMs);
        const keptTokens = isCall ? 0 : kept;
        const isGranted = pool.take(nowMs, keptTokens);
        assert.equal(isGranted, before - keptTokens >= 1);
        assert.equal(pool.availableAt(nowMs), before - (isGranted ? 1 : 0));
      });
    });
    fc.assert(property, {seed: 20, numRuns: 300});
  },
);

Then(
  'no 10 second window has more repeats than the budget allows',
  function () {
    const used = daemons(this).windows.maxUsedShare();
    assert.ok(used <= 1, `${used} of what is allowed`);
  },
);

Then(
  'some 10 second window uses at least {int} percent of the budget',
  function (percent: number) {
    const used = daemons(this).windows.maxUsedShare();
    assert.ok(used >= percent / 100, `${used} of what is allowed`);
  },
);

Given(
  'a backend server that always runs {int} payments',
  async function (count: number) {
    const calling = new CallingBackend();
    backendOf.set(this, calling);
    await Promise.all(
      Array.from({length: count}, () => calling.start('payments', false)),
    );
  },
);

When(
  /^(\d+) lookups run there (as repeats|for the first time) and each makes one call$/,
  async function (count: string, attempt: string) {
    const isRepeat = attempt === 'as repeats';
    for (let lookup = 0; lookup < Number(count); lookup += 1) {
      const running = await backend(this).start('lookups', isRepeat);
      backend(this).call();
      await running.end();
    }
  },
);

Then(
  /^at (least|most) (\d+) calls are charged as repeats$/,
  function (bound: 'least' | 'most', count: string) {
    const {chargedCalls} = backend(this);
    const isKept =
      bound === 'least'
        ? chargedCalls >= Number(count)
        : chargedCalls <= Number(count);
    assert.ok(isKept, `${chargedCalls} charged`);
  },
);

Given('log lines of {string}:', function (service: string, table: DataTable) {
  const lines = table.hashes().map(({second, event = '', owner}) => ({
    time: new Date(Number(second) * 1000).toISOString(),
    event,
    service,
    owner: owner === '' ? undefined : owner,
  }));
  windowOf.set(this, busiestRepeats(lines)[0]);
});

Then(
  'its busiest window has {int} repeats, {int} call and {int} over the budget',
  function (repeats: number, calls: number, overBudget: number) {
    const window = windowOf.get(this);
    assert.deepEqual(
      [window?.repeats, window?.calls, window?.overBudget],
      [repeats, calls, overBudget],
    );
  },
);

Then(
  'the owners of the budget in that window are {string}',
  function (owners: string) {
    assert.deepEqual(windowOf.get(this)?.owners, owners.split(','));
  },
);

When(
  'a pool receives a token with a lifetime of {int} ms every {int} ms for {int} seconds',
  function (lifetimeMs: number, everyMs: number, seconds: number) {
    const pool = new TokenPool();
    poolOf.set(this, pool);
    Array.from({length: (seconds * 1000) / everyMs}, (_, index) => {
      const nowMs = index * everyMs;
      pool.add(1, nowMs + lifetimeMs, nowMs);
    });
  },
);

Then('it holds at most {int} lots', function (most: number) {
  const size = poolOf.get(this)?.lotCount ?? 0;
  assert.ok(size > 0 && size <= most, `${size} lots`);
});
