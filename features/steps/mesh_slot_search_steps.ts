/** Steps for the slot search, with fake gates that only grant or decline. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {
  declined,
  type Declined,
  type GateClient,
  type Reservation,
  type SlotRequest,
} from '../../src/mesh/gate/work.js';
import type {GateCandidate} from '../../src/mesh/router/gates.js';
import {
  findSlot,
  type FoundSlot,
  type SlotSearch,
} from '../../src/mesh/router/slot_search.js';

const SLOTS = 3;
const OBJECTIVE_MS = 1000;
/** Waiting time at a full gate. */
const WAIT_MS = {near: 800, far: 500} as const;

type GateName = keyof typeof WAIT_MS;

/** What a gate decides, by the behaviour of its instance. */
const DECISIONS: Readonly<
  Record<
    string,
    (request: SlotRequest, place: GateName) => Reservation | Declined
  >
> = {
  responds: (_, place) => reservationAt(place),
  "doesn't respond": ({assurance}, place) =>
    assurance === 'none' ? reservationAt(place) : declined('doubtful', 2000),
  'is full': (_, place) => declined('busy', WAIT_MS[place]),
  'leaves meanwhile': () => declined('leaving'),
  // Full at first, and evacuated while the request queues there.
  'is evacuated meanwhile': ({leftMs}) =>
    leftMs > 0 ? declined('evacuated') : declined('busy', WAIT_MS.far),
};

function reservationAt(place: GateName): Reservation {
  return {
    kind: 'reserved',
    instance: place,
    lateAfterMs: 0,
    release: () => undefined,
    run: () => Promise.reject(new Error('fake gates execute no requests')),
  };
}

interface SearchState {
  gates: readonly GateCandidate[];
  /** Gates at which a request has queued, in order. */
  readonly queuedAt: GateName[];
  result?: FoundSlot | Declined;
}

const states = new WeakMap<object, SearchState>();

function stateOf(world: object): SearchState {
  const known = states.get(world) ?? {gates: [], queuedAt: []};
  states.set(world, known);
  return known;
}

/** By its last status, the gate has free slots and is trusted. */
function gateAt(
  state: SearchState,
  place: GateName,
  behaviour: string,
): GateCandidate {
  const decide = DECISIONS[behaviour];
  assert.ok(decide, behaviour);
  const gate: GateClient = {
    reserve: request => {
      if (request.leftMs > 0) state.queuedAt.push(place);
      const decision = decide(request, place);
      const isLeaving =
        decision.kind === 'declined' && decision.reason === 'leaving';
      // The gate's next status shows it.
      if (isLeaving) state.gates = state.gates.filter(({vm}) => vm !== place);
      return Promise.resolve(decision);
    },
  };
  return {
    vm: place,
    gate,
    isLocal: false,
    isSameDomain: place === 'near',
    outstanding: 0,
    statusAgeMs: 0,
    backend: {
      instance: place,
      service: 'pay',
      state: 'ready',
      slots: SLOTS,
      isCold: false,
      trust: 'clear',
      running: 0,
      waiting: 0,
    },
  };
}

async function search(
  state: SearchState,
  changes: Pick<SlotSearch, 'isIdempotent' | 'mayWait'>,
): Promise<void> {
  state.result = await findSlot(
    {forService: () => state.gates},
    {
      requestId: 'r-1',
      service: 'pay',
      route: 'route',
      priority: 1,
      objectiveMs: OBJECTIVE_MS,
      bodyBytes: 0,
      excluded: new Set(),
      deadlineAtMs: performance.now() + 2 * OBJECTIVE_MS,
      signal: new AbortController().signal,
      ...changes,
    },
  );
}

Given(
  /^a near gate whose instance (.+) and a far one whose instance (.+)$/,
  function (near: string, far: string) {
    const state = stateOf(this);
    state.gates = [gateAt(state, 'near', near), gateAt(state, 'far', far)];
  },
);

When(
  /^(an idempotent|a non-idempotent) request searches for a slot$/,
  async function (how: string) {
    const isIdempotent = how === 'an idempotent';
    await search(stateOf(this), {isIdempotent, mayWait: true});
  },
);

When('a repeat of a request searches for a slot', async function () {
  await search(stateOf(this), {isIdempotent: true, mayWait: false});
});

Then(/^it gets a slot at the (near|far) gate$/, function (place: GateName) {
  const {result} = stateOf(this);
  assert.equal(result?.kind, 'found');
  assert.equal(result.vm, place);
});

Then('it gets no slot', function () {
  assert.equal(stateOf(this).result?.kind, 'declined');
});

Then('it gets no slot, with the shorter of both waits', function () {
  const {result} = stateOf(this);
  assert.equal(result?.kind, 'declined');
  assert.equal(result.waitMs, Math.min(...Object.values(WAIT_MS)));
});

Then('it gets no slot, with the wait of the near gate', function () {
  const {result} = stateOf(this);
  assert.equal(result?.kind, 'declined');
  assert.equal(result.reason, 'busy');
  assert.equal(result.waitMs, WAIT_MS.near);
});

Then('it has queued once at each gate', function () {
  assert.deepEqual(stateOf(this).queuedAt.toSorted(), ['far', 'near']);
});
