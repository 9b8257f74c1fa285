/** Steps for the limits for what callers send; none of them uses a network. */
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {BodyProgress} from '../../src/http/body_progress.js';
import {computeCallerBounds} from '../../src/mesh/limits/caller_bounds.js';
import {
  HOLDER_KINDS,
  MemoryBudget,
  type MemoryGrant,
} from '../../src/mesh/limits/memory_budget.js';

const budgets = new WeakMap<object, MemoryBudget>();
const LIMIT_BYTES = 1000;
/** A sixteenth is set aside. */
const SMALL_BYTES = 62;
const JUDGED_MS = 60_000;
const {progress: PROGRESS_LIMITS} = computeCallerBounds({});

const bytes = fc.integer({min: 0, max: LIMIT_BYTES});
const operation = fc.oneof(
  fc.record({
    kind: fc.constantFrom(...HOLDER_KINDS),
    bytes,
  }),
  fc.record({grows: fc.nat(20), bytes}),
  fc.record({releases: fc.nat(20)}),
);

Then(
  'after any sequence of reservations, growths and releases the budget holds',
  () => {
    fc.assert(
      fc.property(fc.array(operation, {maxLength: 60}), operations => {
        const budget = new MemoryBudget(LIMIT_BYTES);
        const grants: MemoryGrant[] = [];
        operations.forEach(step => {
          if ('kind' in step) {
            const grant = budget.reserve(step.bytes, step.kind);
            if (grant) grants.push(grant);
          } else if ('grows' in step) {
            const grant = grants[step.grows];
            const before = grant?.bytes;
            const hasGrown = grant?.grow(step.bytes);
            if (!hasGrown) assert.equal(grant?.bytes, before);
          } else {
            grants[step.releases]?.release();
          }
          const held = grants.reduce((sum, grant) => sum + grant.bytes, 0);
          assert.equal(budget.usedBytes, held);
          assert.ok(held <= LIMIT_BYTES);
        });
        grants.forEach(grant => grant.release());
        grants.forEach(grant => grant.release());
        assert.equal(budget.usedBytes, 0);
      }),
    );
  },
);

Then(
  'a small body gets a grant beside any crowd of unfinished and kept bodies',
  () => {
    const crowd = fc.array(
      fc.record({
        kind: fc.constantFrom('large-body', 'kept-body'),
        bytes,
      }),
    );
    fc.assert(
      fc.property(
        crowd,
        fc.integer({min: 0, max: SMALL_BYTES}),
        (all, small) => {
          const budget = new MemoryBudget(LIMIT_BYTES);
          all.forEach(one => budget.reserve(one.bytes, one.kind));
          assert.ok(budget.reserve(small, 'small-body'));
        },
      ),
    );
  },
);

Given('the budget of a VM with {int} MB', function (memoryMb: number) {
  const resources = {memoryMb, maxDescriptors: 4100};
  const {budgetBytes} = computeCallerBounds({resources});
  budgets.set(this, new MemoryBudget(budgetBytes));
});

Then(
  '{int} unfinished bodies of {int} bytes get a grant',
  function (count: number, bodyBytes: number) {
    const budget = budgets.get(this);
    const grants = Array.from({length: count}, () =>
      budget?.reserve(bodyBytes, 'large-body'),
    );
    assert.ok(grants.every(grant => grant !== undefined));
  },
);

Then(
  'one of them, of {int} bytes in chunks, can be joined',
  function (bodyBytes: number) {
    assert.ok(budgets.get(this)?.reserve(bodyBytes, 'kept-body'));
  },
);

Then(
  'a body that gets {int} bytes each {int} ms is judged {word}',
  (chunkBytes: number, intervalMs: number, verdict: string) => {
    const progress = new BodyProgress(PROGRESS_LIMITS, 0);
    const faults = new Set<string>();
    for (let nowMs = 1; nowMs <= JUDGED_MS && faults.size === 0; nowMs += 1) {
      if (nowMs % intervalMs === 0) progress.record(chunkBytes, nowMs);
      const fault = progress.check(nowMs);
      if (fault) faults.add(fault);
    }
    assert.equal([...faults][0] ?? 'good', verdict);
  },
);

Then(
  "a body that the daemon didn't read for {int} ms is judged good",
  (pauseMs: number) => {
    const progress = new BodyProgress(PROGRESS_LIMITS, 0);
    progress.restart(pauseMs);
    assert.equal(progress.check(pauseMs + 1), undefined);
  },
);
