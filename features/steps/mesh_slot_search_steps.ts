/** Steps for the search of a slot, with gates that only decide. */
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
/** How long a line is at a full gate. */
const WAIT_MS = {near: 800, far: 500} as const;

type Place = keyof typeof WAIT_MS;

/** What a gate decides, by what its instance does. */
const DECISIONS: Readonly<
  Record<string, (request: SlotRequest, place: Place) => Reservation | Declined>
> = {
  answers: (_, place) => reservationAt(place),
  'answers nothing': ({assurance}, place) =>
    assurance === 'none' ? reservationAt(place) : declined('doubtful', 2000),
  'is full': (_, place) => declined('busy', WAIT_MS[place]),
};

function reservationAt(place: Place): Reservation {
  return {
    kind: 'reserved',
    instance: place,
    lateAfterMs: 0,
    release: () => undefined,
    run: () => Promise.reject(new Error('nothing runs here')),
  };
}

interface SearchState {
  gates: readonly GateCandidate[];
  result?: FoundSlot | Declined;
}

const states = new WeakMap<object, SearchState>();

function stateOf(world: object): SearchState {
  const known = states.get(world) ?? {gates: []};
  states.set(world, known);
  return known;
}

/** The router was told that its slots are free and that it is trusted. */
function gateAt(place: Place, does: string): GateCandidate {
  const decide = DECISIONS[does];
  assert.ok(decide, does);
  const gate: GateClient = {
    reserve: request => Promise.resolve(decide(request, place)),
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
    stateOf(this).gates = [gateAt('near', near), gateAt('far', far)];
  },
);

When(
  /^a request that may be run (once|again) looks for a slot$/,
  async function (how: string) {
    const isIdempotent = how === 'again';
    await search(stateOf(this), {isIdempotent, mayWait: true});
  },
);

When('a second send of a request looks for a slot', async function () {
  await search(stateOf(this), {isIdempotent: true, mayWait: false});
});

Then(/^it gets one at the (near|far) gate$/, function (place: Place) {
  const {result} = stateOf(this);
  assert.equal(result?.kind, 'found');
  assert.equal(result.vm, place);
});

Then('it gets none', function () {
  assert.equal(stateOf(this).result?.kind, 'declined');
});

Then('it gets none, with the shorter of both waits', function () {
  const {result} = stateOf(this);
  assert.equal(result?.kind, 'declined');
  assert.equal(result.waitMs, Math.min(...Object.values(WAIT_MS)));
});
