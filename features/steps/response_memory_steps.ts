/** Steps for the memory of responses; none of them uses a network. */
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {computeCallerBounds} from '../../src/mesh/limits/caller_bounds.js';
import {MemoryBudget} from '../../src/mesh/limits/memory_budget.js';
import {
  RESPONSE_CHECK_INTERVAL_MS,
  ResponseMemory,
  SMALL_RESPONSE_BYTES,
  type HeldResponse,
} from '../../src/mesh/limits/response_memory.js';

const UNREAD_AFTER_MS = 5000;
const MEBIBYTE = 1024 * 1024;

/** A memory with a clock of its own, and what it closed, in order. */
class Fixture {
  readonly budget: MemoryBudget;
  readonly memory: ResponseMemory;
  readonly closed: number[] = [];
  readonly reasons: string[] = [];
  readonly held = new Map<number, HeldResponse>();
  nowMs = 0;

  constructor(budgetBytes: number) {
    this.budget = new MemoryBudget(budgetBytes);
    this.memory = new ResponseMemory({
      budget: this.budget,
      unreadAfterMs: UNREAD_AFTER_MS,
      onCut: reason => this.reasons.push(reason),
      now: () => this.nowMs,
    });
  }

  /** Lets time pass in which the process isn't busy. */
  pass(ms: number): void {
    const endMs = this.nowMs + ms;
    while (this.nowMs < endMs) {
      this.nowMs = Math.min(endMs, this.nowMs + RESPONSE_CHECK_INTERVAL_MS);
      this.memory.check();
    }
  }

  hold(id: number, bytes: number): boolean {
    const response = this.memory.hold(bytes, () => {
      this.closed.push(id);
      this.held.delete(id);
    });
    if (response) this.held.set(id, response);
    return response !== undefined;
  }
}

const fixtures = new WeakMap<object, Fixture>();

function fixtureOf(world: object): Fixture {
  const fixture = fixtures.get(world);
  assert.ok(fixture);
  return fixture;
}

Given('the responses of a VM with {int} MB', function (memoryMb: number) {
  const resources = {memoryMb, maxDescriptors: 4100};
  const {budgetBytes, progress} = computeCallerBounds({resources});
  assert.equal(progress.stallMs, UNREAD_AFTER_MS);
  fixtures.set(this, new Fixture(budgetBytes));
});

Then(
  'of {int} unread responses of {int} bytes {int} are held and {int} are cut off',
  function (count: number, bytes: number, heldCount: number, cutCount: number) {
    const fixture = fixtureOf(this);
    const ids = Array.from({length: count}, (_, id) => id);
    ids.forEach(id => fixture.hold(id, bytes));
    assert.deepEqual([...fixture.held.keys()], ids.slice(0, heldCount));
    assert.deepEqual(fixture.closed, ids.slice(heldCount));
    const reasons = Array<string>(cutCount).fill('no-response-memory');
    assert.deepEqual(fixture.reasons, reasons);
  },
);

Then(
  'after {int} ms a further one displaces the one that is longest unread',
  function (waitMs: number) {
    const fixture = fixtureOf(this);
    fixture.pass(waitMs - 1);
    // The oldest one is read just now.
    fixture.held.get(0)?.progress();
    fixture.pass(1);
    assert.ok(fixture.hold(100, 8_000_000));
    assert.equal(fixture.closed.at(-1), 1);
    assert.equal(fixture.reasons.at(-1), 'unread');
    assert.deepEqual([...fixture.held.keys()], [0, 2, 3, 100]);
  },
);

const step = fc.oneof(
  fc.record({holds: fc.integer({min: 0, max: 20 * MEBIBYTE})}),
  fc.record({reads: fc.nat(40)}),
  fc.record({releases: fc.nat(40)}),
  fc.record({waitMs: fc.nat(UNREAD_AFTER_MS)}),
);

Then(
  'after any sequence of responses and reads only unread ones are displaced, the longest unread first',
  () => {
    fc.assert(
      fc.property(fc.array(step, {maxLength: 60}), steps => {
        const fixture = new Fixture(40 * MEBIBYTE);
        const lastAtMs = new Map<number, number>();
        steps.forEach((one, id) => {
          if ('waitMs' in one) {
            fixture.pass(one.waitMs);
          } else if ('reads' in one) {
            const response = fixture.held.get(one.reads);
            response?.progress();
            if (response) lastAtMs.set(one.reads, fixture.nowMs);
          } else if ('releases' in one) {
            fixture.held.get(one.releases)?.release();
            fixture.held.delete(one.releases);
            lastAtMs.delete(one.releases);
          } else {
            checkHold(fixture, lastAtMs, {id, bytes: one.holds});
          }
          assert.ok(fixture.budget.usedBytes <= fixture.budget.limitBytes);
        });
        fixture.held.forEach(response => response.release());
        fixture.held.forEach(response => response.release());
        assert.equal(fixture.budget.usedBytes, 0);
      }),
    );
  },
);

/** Holds a response, and checks which ones were displaced for it. */
function checkHold(
  fixture: Fixture,
  lastAtMs: Map<number, number>,
  {id, bytes}: {readonly id: number; readonly bytes: number},
): void {
  const closedBefore = fixture.closed.length;
  const isHeld = fixture.hold(id, bytes);
  const displaced = fixture.closed.slice(closedBefore, isHeld ? undefined : -1);
  const timeOf = (one: number) => lastAtMs.get(one) ?? Infinity;
  displaced.forEach(one => {
    assert.ok(fixture.nowMs - timeOf(one) >= UNREAD_AFTER_MS);
    const oldestMs = Math.min(...lastAtMs.values());
    assert.equal(timeOf(one), oldestMs);
    lastAtMs.delete(one);
  });
  if (isHeld) return void lastAtMs.set(id, fixture.nowMs);
  assert.equal(fixture.closed.at(-1), id);
  // A response without room comes after all that could be displaced for it.
  lastAtMs.forEach(atMs => assert.ok(fixture.nowMs - atMs < UNREAD_AFTER_MS));
}

Then(
  '{int} responses of {int} bytes are held',
  function (count: number, bytes: number) {
    const fixture = fixtureOf(this);
    const ids = Array.from({length: count}, (_, id) => id);
    assert.ok(ids.every(id => fixture.hold(id, bytes)));
  },
);

Then(
  'a small response is held beside any crowd of bodies and large responses',
  () => {
    const large = fc.integer({
      min: SMALL_RESPONSE_BYTES + 1,
      max: 40 * MEBIBYTE,
    });
    const crowd = fc.array(
      fc.record({
        kind: fc.constantFrom(
          'small-body',
          'large-body',
          'kept-body',
          'response',
        ),
        bytes: large,
      }),
    );
    const small = fc.integer({min: 0, max: SMALL_RESPONSE_BYTES});
    fc.assert(
      fc.property(crowd, small, (all, bytes) => {
        const fixture = new Fixture(40 * MEBIBYTE);
        all.forEach((one, id) => {
          if (one.kind === 'response') fixture.hold(id, one.bytes);
          else fixture.budget.reserve(one.bytes, one.kind);
        });
        assert.ok(fixture.hold(all.length, bytes));
      }),
    );
  },
);

Then(
  'after {int} ms a body of {int} bytes finds room in place of one of {int} unread responses',
  function (waitMs: number, bytes: number, count: number) {
    const fixture = fixtureOf(this);
    const ids = Array.from({length: count}, (_, id) => id);
    assert.ok(ids.every(id => fixture.hold(id, 8_000_000)));
    fixture.pass(waitMs);
    assert.equal(fixture.budget.reserve(bytes, 'large-body'), undefined);
    assert.ok(fixture.memory.displaceOne());
    assert.ok(fixture.budget.reserve(bytes, 'large-body'));
    assert.deepEqual(fixture.closed, [0]);
  },
);

Then(
  'after a pause of {int} ms none of {int} responses is cut off for another',
  function (pauseMs: number, count: number) {
    const fixture = fixtureOf(this);
    const ids = Array.from({length: count}, (_, id) => id);
    assert.ok(ids.every(id => fixture.hold(id, 8_000_000)));
    fixture.nowMs += pauseMs;
    assert.ok(!fixture.hold(count, 8_000_000));
    assert.deepEqual([...fixture.held.keys()], ids);
  },
);
