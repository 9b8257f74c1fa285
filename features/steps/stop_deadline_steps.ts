/** Steps for the watch of waiting requests in a planned stop, with a fake clock. */
import assert from 'node:assert/strict';
import {mock} from 'node:test';
import {Given, Then, When} from '@cucumber/cucumber';
import {StopDeadline} from '../../src/router/stop_deadline.js';

/** How long the route's requests usually take. */
const USUAL_MS = 100;

interface DeadlineWorld {
  stopMs?: number;
  refusedAtMs?: number | undefined;
}

Given(
  'a planned stop that takes {int} ms, by a fake clock',
  function (this: DeadlineWorld, stopMs: number) {
    this.stopMs = stopMs;
  },
);

When(
  'a request that may run once waits from {int} ms with its deadline at {int} ms',
  function (this: DeadlineWorld, fromMs: number, deadlineMs: number) {
    // Within one step, so that no other code runs by the fake clock.
    mock.timers.enable({apis: ['setTimeout']});
    try {
      this.refusedAtMs = waitInStop(this.stopMs ?? 0, fromMs, deadlineMs);
    } finally {
      mock.timers.reset();
    }
  },
);

/** Returns when the request was refused; undefined if its deadline came first. */
function waitInStop(
  stopMs: number,
  fromMs: number,
  deadlineMs: number,
): number | undefined {
  let nowMs = 0;
  let refusedAtMs: number | undefined;
  const advanceTo = (untilMs: number) => {
    while (nowMs < untilMs) {
      nowMs += 1;
      mock.timers.tick(1);
    }
  };
  const stop = new StopDeadline(() => nowMs);
  // As the dispatcher bounds a request that may run once.
  const expectedMs = () => (stop.isLate ? deadlineMs - nowMs : USUAL_MS);
  const onTooLate = () => (refusedAtMs ??= nowMs);
  stop.begin(stopMs);
  advanceTo(fromMs);
  const unwatch = stop.watch(expectedMs, onTooLate);
  advanceTo(Math.min(deadlineMs, stopMs));
  unwatch();
  return refusedAtMs;
}

Then(
  /^it is refused as too late (?:never|at (\d+) ms)$/,
  function (this: DeadlineWorld, atMs: string | null) {
    assert.equal(this.refusedAtMs, atMs ? Number(atMs) : undefined);
  },
);
