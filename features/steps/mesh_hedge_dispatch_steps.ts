/** Steps for the dispatch of hedged requests, with fake gates. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {StopDeadline} from '../../src/router/stop_deadline.js';
import type {Outcome, Reservation} from '../../src/mesh/gate/work.js';
import {
  Dispatcher,
  type DispatchResult,
} from '../../src/mesh/router/dispatcher.js';
import type {GateCandidate} from '../../src/mesh/router/gates.js';
import {HedgePolicy} from '../../src/mesh/router/hedge_policy.js';
import {testRoute} from '../support/mesh_fleet.js';
import {SILENT_LOG} from '../support/silent_log.js';

const SERVICE = 'docs';
/** The gates' estimate, which decides while there are few samples. */
const LATE_AFTER_MS = 30;
const TIMEOUT_MS = 3000;
const DOMAIN_BY_PLACE = {first: true, second: false} as const;
type Place = keyof typeof DOMAIN_BY_PLACE;

interface DispatchState {
  readonly runs: Place[];
  readonly cancelled: Place[];
  readonly released: Place[];
  maxExtraShare: number;
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
  const {afterMs, status} =
    place === 'first' ? state.firstResponds : {afterMs: 5, status: 200};
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
  const reserve = async (): Promise<Reservation> => {
    if (place === 'second') await sleep(state.hedgeSearchMs);
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
  const gates = [gateAt(state, 'first'), gateAt(state, 'second')];
  const drop = () => undefined;
  return new Dispatcher({
    gates: {
      forService: () => gates,
      linkStates: {connecting: 0, open: 0, waiting: 0, 'backing-off': 0},
    },
    repeats: {
      countRequest: drop,
      take: () => Promise.resolve({isGranted: true, owner: 'vm-0'}),
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
      maxExtraShare: 1,
      firstResponds: {afterMs: Number(afterMs), status},
      hedgeSearchMs: Number(searchMs),
      tookMs: 0,
    });
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
    await sleep(state.hedgeSearchMs + 2 * LATE_AFTER_MS);
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
