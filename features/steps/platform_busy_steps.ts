/** Steps for a store whose answers come at once. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Then, When} from '@cucumber/cucumber';
import {until} from '../support/fleet.js';
import {stateOf, VM_KEY_PREFIX} from './platform_adapter_steps.js';

/** The list is read every 3 s. */
const LIST_DUE_MS = 6000;

When('the store answers every watch at once', function () {
  stateOf(this).store.answersWatchesAtOnce = true;
  endOpenWatches(this);
});

When('the store repeats its answers', function () {
  stateOf(this).store.repeatsAnswers = true;
  endOpenWatches(this);
});

When(
  'the store is unavailable, and {int} ms have passed',
  async function (forMs: number) {
    stateOf(this).store.isUnavailable = true;
    endOpenWatches(this);
    await sleep(forMs);
  },
);

When('the store repeats its answers no more', function () {
  stateOf(this).store.repeatsAnswers = false;
});

/** Watches that are open already would wait for the next change. */
function endOpenWatches(world: object): void {
  stateOf(world).store.cutConnections();
}

When('the list is due', async function () {
  const {calls} = stateOf(this).store;
  const lists = () => calls.filter(({prefix}) => prefix === VM_KEY_PREFIX);
  const before = lists().length;
  await until('a list', () => lists().length > before, LIST_DUE_MS);
});

Then(
  'the daemon calls it at most {int} times in {int} ms',
  async function (most: number, forMs: number) {
    const {calls} = stateOf(this).store;
    const before = calls.length;
    // The absence of calls can only be checked after a delay.
    await sleep(forMs);
    const count = calls.length - before;
    assert.ok(count <= most, `${count} calls`);
  },
);
