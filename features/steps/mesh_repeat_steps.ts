/** Steps for the repeat budget; none of them uses a network. */
import assert from 'node:assert/strict';
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import {
  busiestRepeats,
  type RepeatWindow,
} from '../../src/commands/repeat_windows.js';
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
