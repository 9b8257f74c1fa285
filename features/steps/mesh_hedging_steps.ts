/** Steps for the hedging policy, on a virtual clock. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {RepeatBudget} from '../../src/mesh/limits/repeat_budget.js';
import {decodeFrame, encodeFrame} from '../../src/mesh/peers/frames.js';
import type {RequestFrame} from '../../src/mesh/peers/frames.js';
import {BURST_HEDGES, HedgeLimit} from '../../src/mesh/router/hedge_limit.js';
import {
  HEDGE_SPARE_TOKENS,
  HedgePolicy,
  type SlowRequest,
} from '../../src/mesh/router/hedge_policy.js';
import {SimulatedHedging} from '../support/simulated_hedging.js';

const SERVICE = 'docs';
const ROUTE = 'read';
const GATE_LATE_AFTER_MS = 1234;

interface HedgingState {
  router: SimulatedHedging;
  maxExtraShare: number;
  nowMs: number;
  policy: HedgePolicy;
}

const states = new WeakMap<object, HedgingState>();

function stateOf(world: object): HedgingState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

Given(
  'a policy for the {float} quantile',
  function (this: object, quantile: number) {
    const settings = {maxExtraShare: 0.1, quantile};
    const router = new SimulatedHedging(1, settings);
    const policy = new HedgePolicy(settings, () => stateOf(this).nowMs);
    states.set(this, {router, maxExtraShare: 0.1, nowMs: 0, policy});
  },
);

Given(
  'a router with {int} instances and hedges for {int} % of the requests, from the {float} quantile',
  function (this: object, count: number, percent: number, quantile: number) {
    const maxExtraShare = percent / 100;
    const settings = {maxExtraShare, quantile};
    const router = new SimulatedHedging(count, settings);
    const policy = new HedgePolicy(settings);
    states.set(this, {router, maxExtraShare, nowMs: 0, policy});
  },
);

Given('the retry budget is used up', function (this: object) {
  stateOf(this).router.isBudgetUsedUp = true;
});

When(
  /^(\d+) requests per second arrive for (\d+) seconds, with (\d+) ms of work(?:, and (\d+) ms at one instance)?$/,
  function (
    this: object,
    requestsPerS: string,
    seconds: string,
    workMs: string,
    slowMs: string | null,
  ) {
    stateOf(this).router.run({
      requestsPerS: Number(requestsPerS),
      durationMs: Number(seconds) * 1000,
      workMs: instance => Number(instance === 0 ? (slowMs ?? workMs) : workMs),
    });
  },
);

Then(
  /^(fewer than )?([\d.]+) % of the later half of the requests take at most (\d+) ms$/,
  function (
    this: object,
    fewer: string | null,
    percent: string,
    maxMs: string,
  ) {
    const {tookMs} = stateOf(this).router;
    const later = tookMs.slice(tookMs.length / 2);
    const share = later.filter(ms => ms <= Number(maxMs)).length / later.length;
    const isReached = share >= Number(percent) / 100;
    assert.equal(isReached, !fewer, `${share * 100} %`);
  },
);

Then('no window has more hedges than the limit', function (this: object) {
  const {router, maxExtraShare} = stateOf(this);
  assert.ok(router.hedgedAtMs.length > 0);
  const excess = maxExcess(router.sentAtMs, router.hedgedAtMs, maxExtraShare);
  assert.ok(excess <= BURST_HEDGES + 1e-6, `${excess} beyond the share`);
});

/** The most hedges beyond the share of the requests, over all windows. */
function maxExcess(
  sentAtMs: readonly number[],
  hedgedAtMs: readonly number[],
  share: number,
): number {
  return hedgedAtMs.reduce((most, fromMs, first) => {
    const excesses = hedgedAtMs.slice(first).map((toMs, index) => {
      const sent = sentAtMs.filter(ms => ms >= fromMs && ms <= toMs).length;
      return index + 1 - share * sent;
    });
    return Math.max(most, ...excesses);
  }, 0);
}

Then('some hedges have won, and each has won or lost', function (this: object) {
  const {ends, hedgedAtMs} = stateOf(this).router;
  assert.ok(ends.won > 0);
  assert.equal(ends.won + ends.lost, hedgedAtMs.length);
});

Then('no hedge was sent', function (this: object) {
  assert.equal(stateOf(this).router.hedgedAtMs.length, 0);
});

Then(
  'hedges were refused for the reason {string}',
  function (this: object, reason: string) {
    const {refusals} = stateOf(this).router;
    assert.ok((refusals.get(reason) ?? 0) > 0, JSON.stringify([...refusals]));
  },
);

Then(
  'no hedge was sent while {int} % of the slots were in use',
  function (this: object, percent: number) {
    const {usedShares} = stateOf(this).router;
    assert.ok(usedShares.every(share => share < percent / 100));
  },
);

Then(
  'the retry budget was asked at most once per second',
  function (this: object) {
    const {budgetAsked, sentAtMs} = stateOf(this).router;
    const seconds = (sentAtMs.at(-1) ?? 0) / 1000;
    assert.ok(budgetAsked > 0 && budgetAsked <= seconds + 2, `${budgetAsked}`);
  },
);

When(
  '{int} responses take {int} ms',
  function (this: object, count: number, tookMs: number) {
    const state = stateOf(this);
    Array.from({length: count}, () => {
      state.nowMs += 10;
      state.policy.countRequest(SERVICE);
      state.policy.recordResponse(ROUTE, tookMs);
    });
  },
);

When('{int} minutes pass', function (this: object, minutes: number) {
  stateOf(this).nowMs += minutes * 60_000;
});

Then("a request is slow after the gate's estimate", function (this: object) {
  const afterMs = stateOf(this).policy.slowAfterMs(ROUTE, GATE_LATE_AFTER_MS);
  assert.equal(afterMs, GATE_LATE_AFTER_MS);
});

Then(
  'a request is slow after {int} to {int} ms',
  function (this: object, minMs: number, maxMs: number) {
    const afterMs = stateOf(this).policy.slowAfterMs(ROUTE, GATE_LATE_AFTER_MS);
    assert.ok(afterMs >= minMs && afterMs <= maxMs, `${afterMs} ms`);
  },
);

const USUAL: SlowRequest = {
  route: ROUTE,
  service: SERVICE,
  isIdempotent: true,
  isQuarantined: false,
  leftMs: 1000,
  gateLateAfterMs: GATE_LATE_AFTER_MS,
  load: {slots: 60, requests: 6, hasOtherFreeSlot: true},
};

/** Why a request is refused a hedge that it would get otherwise. */
const CAUSES: Readonly<
  Record<string, (policy: HedgePolicy) => Partial<SlowRequest>>
> = {
  'for a request that may run once only': () => ({isIdempotent: false}),
  'for a quarantined request': () => ({isQuarantined: true}),
  'with less time left than the route takes': () => ({leftMs: 90}),
  'when 70 % of the slots are in use': () => {
    return {load: {...USUAL.load, requests: 42}};
  },
  'when no other instance has a free slot': () => {
    return {load: {...USUAL.load, hasOtherFreeSlot: false}};
  },
  'when the retry budget has refused a repeat': policy => {
    policy.recordBudgetRefusal(SERVICE);
    return {};
  },
  'when as many hedges are starting as allowed': policy => {
    Array.from({length: BURST_HEDGES}, () => policy.decide(USUAL));
    return {};
  },
};

Then(
  /^a hedge is refused for the reason "(\w+)" ((?:for|with|when) .+)$/,
  function (this: object, reason: string, when: string) {
    const {policy} = stateOf(this);
    const usual = policy.decide(USUAL);
    assert.equal(usual.kind, 'granted');
    usual.token.release();
    const change = CAUSES[when]?.(policy);
    assert.ok(change, when);
    const decision = policy.decide({...USUAL, ...change});
    assert.deepEqual(decision, {kind: 'refused', reason});
  },
);

/** Guards against a bucket that refills for tokens that are only reserved. */
const REFILLED_WHILE_RESERVED = (
  ['request', 'reserve', 'request', 'use', 'reserve', 'use'] as const
).map(step => ({step, count: 9}));

Then(
  'for any order of requests and hedges, the limit holds in every window',
  () => {
    // Rows of equal steps, so that many hedges are reserved at a time.
    const row = fc.record({
      step: fc.constantFrom('request', 'reserve', 'use', 'release'),
      count: fc.integer({min: 1, max: 9}),
    });
    fc.assert(
      fc.property(
        fc.double({min: 0, max: 1, noNaN: true}),
        fc.array(row, {maxLength: 60}),
        (share, rows) => {
          const steps = rows.flatMap(({step, count}) =>
            Array.from({length: count}, () => step),
          );
          const limit = new HedgeLimit(share);
          const tokens: ReturnType<HedgeLimit['reserve']>[] = [];
          const sentAt: number[] = [];
          const hedgedAt: number[] = [];
          const handlers = {
            request: (at: number) => {
              limit.countRequest();
              sentAt.push(at);
            },
            reserve: () => {
              const token = limit.reserve();
              if (token) tokens.push(token);
            },
            use: (at: number) => {
              const token = tokens.shift();
              if (token) hedgedAt.push(at);
              token?.use();
              // A second end of the same token must change nothing.
              token?.release();
            },
            release: () => tokens.pop()?.release(),
          } as const;
          steps.forEach((name, at) => handlers[name](at));
          const excess = maxExcess(sentAt, hedgedAt, share);
          return excess <= BURST_HEDGES + 1e-9;
        },
      ),
      {examples: [[1, REFILLED_WHILE_RESERVED]]},
    );
  },
);

Then('for any load and history, no hedge is granted to such a request', () => {
  fc.assert(
    fc.property(
      fc.record({
        maxExtraShare: fc.double({min: 0, max: 1, noNaN: true}),
        quantile: fc.double({min: 0.5, max: 0.999, noNaN: true}),
      }),
      fc.array(fc.double({min: 0, max: 60_000, noNaN: true})),
      fc.record({
        isQuarantined: fc.boolean(),
        leftMs: fc.double({noNaN: true}),
        gateLateAfterMs: fc.nat(),
        load: fc.record({
          slots: fc.nat(),
          requests: fc.nat(),
          hasOtherFreeSlot: fc.boolean(),
        }),
      }),
      (settings, times, request) => {
        const policy = new HedgePolicy(settings, () => 0);
        times.forEach(tookMs => {
          policy.countRequest(SERVICE);
          policy.recordResponse(ROUTE, tookMs);
        });
        const slow = {...USUAL, ...request, isIdempotent: false};
        return policy.decide(slow).kind === 'refused';
      },
    ),
  );
});

Given(
  '{int} tokens in the retry budget',
  function (this: object, tokens: number) {
    budgets.set(this, budgetWith(tokens));
  },
);

const budgets = new WeakMap<object, RepeatBudget>();

function budgetWith(tokens: number): RepeatBudget {
  const budget = new RepeatBudget({
    peers: {
      selfId: 'vm-0',
      reachable: () => [],
      count: () => 0,
      requestRepeat: () => Promise.resolve(undefined),
      pay: () => undefined,
    } as unknown as ConstructorParameters<typeof RepeatBudget>[0]['peers'],
    bounds: {ratio: 0, windowS: 10, slack: 0},
    isFirstStart: false,
    now: () => 0,
  });
  budget.receivePayment({service: SERVICE, lots: [[tokens, 1000]], spent: 0});
  return budget;
}

Then(
  /^(\d+) hedge gets a token, and (\d+) repeats after failures$/,
  function (this: object, hedges: string, repeats: string) {
    const budget = budgets.get(this);
    assert.ok(budget);
    const payment = {service: SERVICE, lots: [], spent: 0};
    const spareTokens = HEDGE_SPARE_TOKENS;
    const grantsOf = (changes: object) =>
      Array.from({length: 9}, () => budget.grant({...payment, ...changes}));
    const count = (grants: readonly boolean[]) => grants.filter(Boolean).length;
    assert.equal(count(grantsOf({spareTokens})), Number(hedges));
    assert.equal(count(grantsOf({})), Number(repeats));
  },
);

const frames = new WeakMap<object, RequestFrame>();

When(
  'a request for a token that leaves {int} tokens is sent to a peer',
  function (this: object, spareTokens: number) {
    const payment = {service: SERVICE, lots: [[2, 300]], spent: 1} as const;
    const frame = {kind: 'repeat', id: 7, payment: {...payment, spareTokens}};
    const bytes = encodeFrame(frame as RequestFrame);
    frames.set(this, decodeFrame<RequestFrame>(bytes, 'vm-1'));
  },
);

Then(
  'the peer reads the service, the lots and what was spent',
  function (this: object) {
    const frame = frames.get(this);
    assert.ok(frame?.kind === 'repeat');
    const {service, lots, spent} = frame.payment;
    const known = {service: SERVICE, lots: [[2, 300]], spent: 1};
    assert.deepEqual({service, lots, spent}, known);
  },
);
