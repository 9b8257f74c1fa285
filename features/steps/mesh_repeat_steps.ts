/** Steps for the budget of repeats, each without a network. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {CallingBackend} from '../support/calling_backend.js';
import {
  DaemonsWithRepeats,
  type RepeatTrouble,
} from '../support/daemons_with_repeats.js';

const daemonsOf = new WeakMap<object, DaemonsWithRepeats>();
const backendOf = new WeakMap<object, CallingBackend>();

function daemons(world: object): DaemonsWithRepeats {
  const known = daemonsOf.get(world);
  assert.ok(known);
  return known;
}

function backend(world: object): CallingBackend {
  const known = backendOf.get(world);
  assert.ok(known);
  return known;
}

Given('{int} daemons that share a budget of repeats', function (count: number) {
  daemonsOf.set(this, new DaemonsWithRepeats(count));
});

When(
  /^(\d+) requests and (\d+) failures a second come for (\d+) seconds while (.+)$/,
  async function (
    requests: string,
    failed: string,
    seconds: string,
    trouble: RepeatTrouble,
  ) {
    const load = {requests: Number(requests), failed: Number(failed)};
    await daemons(this).play(load, Number(seconds) * 1000, trouble);
  },
);

Then('no 10 seconds see more repeats than the budget allows', function () {
  const used = daemons(this).windows.mostUsed();
  assert.ok(used <= 1, `${used} of what is allowed`);
});

Then(
  'some 10 seconds use at least {int} percent of it',
  function (percent: number) {
    const used = daemons(this).windows.mostUsed();
    assert.ok(used >= percent / 100, `${used} of what is allowed`);
  },
);

Given(
  'a backend server that runs {int} payments at any time',
  async function (count: number) {
    const calling = new CallingBackend();
    backendOf.set(this, calling);
    await Promise.all(
      Array.from({length: count}, () => calling.start('payments', false)),
    );
  },
);

When(
  /^(\d+) lookups (are repeated|run) there (?:for the first time )?and each of them calls once$/,
  async function (count: string, verb: string) {
    const isRepeat = verb === 'are repeated';
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
    const {charged} = backend(this);
    const isKept =
      bound === 'least' ? charged >= Number(count) : charged <= Number(count);
    assert.ok(isKept, `${charged} charged`);
  },
);
