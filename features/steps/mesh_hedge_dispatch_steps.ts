/** Steps for the dispatch of hedged requests, with fake gates. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {StopDeadline} from '../../src/router/stop_deadline.js';
import type {
  Outcome,
  Reservation,
  SlotRequest,
} from '../../src/mesh/gate/work.js';
import {
  Dispatcher,
  type DispatchResult,
} from '../../src/mesh/router/dispatcher.js';
import type {GateCandidate} from '../../src/mesh/router/gates.js';
import {BURST_HEDGES} from '../../src/mesh/router/hedge_limit.js';
import {HedgePolicy} from '../../src/mesh/router/hedge_policy.js';
import {testRoute} from '../support/mesh_fleet.js';
import {SILENT_LOG} from '../support/silent_log.js';

const SERVICE = 'docs';
/** The gates' estimate, which decides while there are few samples. */
const LATE_AFTER_MS = 30;
const TIMEOUT_MS = 3000;
/** Response time of the repeat after a failure, beside which a hedge starts. */
const REPEAT_MS = 1500;
const DOMAIN_BY_PLACE = {first: true, second: false, third: false} as const;
type Place = keyof typeof DOMAIN_BY_PLACE;

interface DispatchState {
  readonly runs: Place[];
  readonly cancelled: Place[];
  readonly released: Place[];
  /** Gates where a search was withdrawn before they had replied. */
  readonly withdrawn: Place[];
  maxExtraShare: number;
  /** Time that the retry budget takes for each hedge, in order. */
  budgetMs: readonly number[];
  hasThirdGate: boolean;
  policy?: HedgePolicy;
  firstResponds: {readonly afterMs: number; readonly status: number};
  hedgeSearchMs: number;
  result?: DispatchResult;
  tookMs: number;
}

const states = new WeakMap<object, DispatchState>();

function stateOf(world: object): DispatchState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

async function respond(
  state: DispatchState,
  place: Place,
  signal: AbortSignal,
): Promise<Outcome> {
  state.runs.push(place);
  const isRepeat = state.hasThirdGate && state.runs.length === 2;
  const otherMs = isRepeat ? REPEAT_MS : 5;
  const {afterMs, status} =
    place === 'first' ? state.firstResponds : {afterMs: otherMs, status: 200};
  try {
    await sleep(afterMs, undefined, {signal});
  } catch {
    state.cancelled.push(place);
    return {kind: 'unknown', instance: place, reason: 'cancelled'};
  }
  const body = Buffer.of();
  return {kind: 'answered', instance: place, status, headers: [], body};
}

function gateAt(state: DispatchState, place: Place): GateCandidate {
  const reserve = async (
    _: SlotRequest,
    signal: AbortSignal,
  ): Promise<Reservation> => {
    const onAbort = () => state.withdrawn.push(place);
    signal.addEventListener('abort', onAbort);
    if (place === 'second') await sleep(state.hedgeSearchMs);
    signal.removeEventListener('abort', onAbort);
    return {
      kind: 'reserved',
      instance: place,
      lateAfterMs: LATE_AFTER_MS,
      release: () => state.released.push(place),
      run: (_, signal) => respond(state, place, signal),
    };
  };
  return {
    vm: place,
    gate: {reserve},
    isLocal: false,
    isSameDomain: DOMAIN_BY_PLACE[place],
    outstanding: 0,
    statusAgeMs: 0,
    backend: {
      instance: place,
      service: SERVICE,
      state: 'ready',
      slots: 3,
      isCold: false,
      trust: 'clear',
      running: 0,
      waiting: 0,
    },
  };
}

function dispatcherOf(state: DispatchState): Dispatcher {
  const {maxExtraShare} = state;
  const hedging = new HedgePolicy({maxExtraShare, quantile: 0.95});
  // The limit allows no hedge before requests were sent.
  Array.from({length: 3}, () => hedging.countRequest(SERVICE));
  state.policy = hedging;
  const places: readonly Place[] = state.hasThirdGate
    ? ['first', 'second', 'third']
    : ['first', 'second'];
  const gates = places.map(place => gateAt(state, place));
  const hedgeWaits = [...state.budgetMs];
  const drop = () => undefined;
  return new Dispatcher({
    gates: {
      forService: () => gates,
      linkStates: {connecting: 0, open: 0, waiting: 0, 'backing-off': 0},
    },
    repeats: {
      countRequest: drop,
      take: async (_, {spareTokens = 0} = {}) => {
        if (spareTokens > 0) await sleep(hedgeWaits.shift() ?? 0);
        return {isGranted: true, owner: 'vm-0'};
      },
    },
    quarantine: {
      isQuarantined: () => false,
      recordEnd: drop,
      recordSuccess: drop,
    },
    stop: new StopDeadline(),
    hedging,
    log: SILENT_LOG,
    metrics: {
      recordRepeat: drop,
      recordRepeatOverBudget: drop,
      recordHedge: drop,
      recordHedgeRefusal: drop,
    },
  });
}

Given(
  /^a first instance that (responds|fails) after (\d+) ms and gates that take (\d+) ms to reserve a slot for a hedge$/,
  function (this: object, how: string, afterMs: string, searchMs: string) {
    const status = how === 'fails' ? 500 : 200;
    states.set(this, {
      runs: [],
      cancelled: [],
      released: [],
      withdrawn: [],
      maxExtraShare: 1,
      budgetMs: [],
      hasThirdGate: false,
      firstResponds: {afterMs: Number(afterMs), status},
      hedgeSearchMs: Number(searchMs),
      tookMs: 0,
    });
  },
);

Given(
  'a third gate, and a retry budget that takes {int} ms for the first hedge and {int} ms for the next',
  function (this: object, firstMs: number, nextMs: number) {
    const state = stateOf(this);
    state.hasThirdGate = true;
    state.budgetMs = [firstMs, nextMs];
  },
);

Given('no hedge is allowed', function (this: object) {
  stateOf(this).maxExtraShare = 0;
});

When(
  /^(an idempotent|a non-idempotent) request is dispatched with hedging(?: and its caller disconnects after (\d+) ms)?$/,
  async function (this: object, kind: string, disconnectMs?: string) {
    const state = stateOf(this);
    const caller = new AbortController();
    if (disconnectMs) setTimeout(() => caller.abort(), Number(disconnectMs));
    const startedAtMs = performance.now();
    state.result = await dispatcherOf(state).serve({
      id: 'r-1',
      fingerprint: '',
      route: testRoute({
        name: 'read',
        prefix: '/read/',
        isIdempotent: kind === 'an idempotent',
        targets: [{service: SERVICE, weight: 1}],
        maxAttempts: 3,
      }),
      service: SERVICE,
      priority: 1,
      method: 'GET',
      path: '/read/',
      headers: [],
      body: Buffer.of(),
      deadlineAtMs: startedAtMs + TIMEOUT_MS,
      callerDeadlineAtMs: startedAtMs + TIMEOUT_MS,
      callerSignal: caller.signal,
    });
    state.tookMs = performance.now() - startedAtMs;
    // A hedge that is being started ends after the search for its slot.
    const startMs = Math.max(state.hedgeSearchMs, ...state.budgetMs);
    await sleep(startMs + 2 * LATE_AFTER_MS);
  },
);

Then(
  /^it is answered by the (first|second) instance within (\d+) ms$/,
  function (this: object, place: Place, withinMs: string) {
    const {result, tookMs} = stateOf(this);
    assert.ok(result?.kind === 'answered');
    assert.equal(result.instance, place);
    assert.ok(tookMs <= Number(withinMs), `${tookMs} ms`);
  },
);

Then('the second instance ran nothing', function (this: object) {
  assert.deepEqual(stateOf(this).runs, ['first']);
});

Then(
  'the second instance ran nothing, and its slot was released',
  function (this: object) {
    const {runs, released} = stateOf(this);
    assert.deepEqual(runs, ['first']);
    assert.deepEqual(released, ['second']);
  },
);

Then('the run at the first instance was cancelled', function (this: object) {
  assert.deepEqual(stateOf(this).cancelled, ['first']);
});

Then('the search for its slot was withdrawn', function (this: object) {
  assert.deepEqual(stateOf(this).withdrawn, ['second']);
});

Then(
  'one hedge was sent, and the slot of the other was released',
  function (this: object) {
    const {runs, released} = stateOf(this);
    // The first request, the repeat after its failure and one hedge.
    assert.equal(runs.length, 3);
    assert.equal(released.length, 1);
  },
);

Then(
  'the limit has {int} tokens left, and {int} after a further request',
  function (this: object, left: number, later: number) {
    const {policy} = stateOf(this);
    assert.ok(policy);
    assert.equal(countTokens(policy), left);
    policy.countRequest(SERVICE);
    assert.equal(countTokens(policy), later);
  },
);

/** Reserves all tokens and returns them. */
function countTokens(policy: HedgePolicy): number {
  const decisions = Array.from({length: 2 * BURST_HEDGES}, () =>
    policy.decide({
      route: 'read',
      service: SERVICE,
      isIdempotent: true,
      isQuarantined: false,
      leftMs: TIMEOUT_MS,
      gateLateAfterMs: LATE_AFTER_MS,
      load: {slots: 9, requests: 0, hasOtherFreeSlot: true},
    }),
  );
  const tokens = decisions.flatMap(decision =>
    decision.kind === 'granted' ? [decision.token] : [],
  );
  tokens.forEach(token => token.release());
  return tokens.length;
}
