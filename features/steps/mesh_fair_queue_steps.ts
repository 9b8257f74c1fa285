/** Properties of the queue of a gate, for any sequence of arrivals. */
import assert from 'node:assert/strict';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Then} from '@cucumber/cucumber';
import fc from 'fast-check';
import {FairQueue, type Place} from '../../src/mesh/gate/fair_queue.js';
import {
  createPlace,
  MAX_SLACK_MS,
  type CustomerShares,
} from '../../src/mesh/gate/queue_place.js';
import {SlotQueue, type Slot} from '../../src/mesh/gate/slot_queue.js';

const SEED = 7;
const PARAMETERS = {seed: SEED, numRuns: 500} as const;

const CUSTOMERS = ['a', 'b', 'c', 'd'] as const;

/** Places of any customers and priorities. */
const anyPlace: fc.Arbitrary<Place> = fc.record({
  priority: fc.integer({min: -1, max: 2}),
  customer: fc.option(fc.constantFrom(...CUSTOMERS), {nil: undefined}),
  weight: fc.constantFrom(1, 1, 2, 4),
  dueAtMs: fc.integer({min: 0, max: 5}),
  costMs: fc.integer({min: 1, max: 50}),
});

/** An arrival, or a request that gets a slot. */
type Step = Place | 'take';

const anySteps = fc.array(
  fc.oneof(
    {weight: 3, arbitrary: anyPlace},
    {
      weight: 2,
      arbitrary: fc.constant<Step>('take'),
    },
  ),
  {maxLength: 80},
);

/** Adds and takes; each item is its own place. */
function play(
  steps: readonly Step[],
  onTake: (taken: Place | undefined, waiting: readonly Place[]) => void = () =>
    undefined,
): FairQueue<Place> {
  const queue = new FairQueue<Place>();
  let waiting: readonly Place[] = [];
  steps.forEach(step => {
    if (step !== 'take') {
      // fast-check may use one object twice.
      const place = {...step};
      queue.add(place, place);
      waiting = [...waiting, place];
      return;
    }
    const taken = queue.take();
    onTake(taken, waiting);
    waiting = waiting.filter(place => place !== taken);
  });
  assert.equal(queue.size, waiting.length);
  return queue;
}

function drain(queue: FairQueue<Place>): readonly Place[] {
  const taken: Place[] = [];
  for (let next = queue.take(); next; next = queue.take()) taken.push(next);
  return taken;
}

function checkStrictPriority(): void {
  const property = fc.property(anySteps, steps => {
    play(steps, (taken, waiting) => {
      const urgent = Math.min(...waiting.map(({priority}) => priority));
      assert.equal(taken?.priority, waiting.length > 0 ? urgent : undefined);
    });
  });
  fc.assert(property, PARAMETERS);
}

/** The order of a gate without shares, as it was before there were shares. */
function checkOrderWithoutShares(): void {
  const property = fc.property(fc.array(anyPlace, {maxLength: 60}), places => {
    const queue = new FairQueue<Place>();
    const added = places.map((request, index) => {
      const queueTimeoutMs = request.dueAtMs * 100;
      const place = createPlace(
        {...request, queueTimeoutMs},
        {customerShares: 'none', costMs: request.costMs, nowMs: index},
      );
      queue.add(place, place);
      return place;
    });
    const byPriority = added.toSorted((a, b) => a.priority - b.priority);
    drain(queue).forEach((place, index) =>
      assert.equal(place, byPriority[index]),
    );
  });
  fc.assert(property, PARAMETERS);
}

/**
 * Start-time fair queueing serves any two backlogged customers in proportion to
 * their weights, within one request of each, in every window.
 */
function checkShares(): void {
  const customer = fc.record({
    weight: fc.constantFrom(1, 2, 3),
    costsMs: fc.array(fc.integer({min: 1, max: 100}), {
      minLength: 40,
      maxLength: 40,
    }),
  });
  const customers = fc.array(customer, {minLength: 2, maxLength: 4});
  const property = fc.property(customers, flows => {
    const queue = new FairQueue<Place>();
    flows.forEach(({weight, costsMs}, index) =>
      costsMs.forEach(costMs => {
        const place = {
          priority: 0,
          customer: String(index),
          weight,
          dueAtMs: 0,
          costMs,
        };
        queue.add(place, place);
      }),
    );
    const served = flows.map(() => 0);
    const left = flows.map(({costsMs}) => costsMs.length);
    const history: (readonly number[])[] = [[...served]];
    while (left.every(count => count > 0)) {
      const place = queue.take();
      assert.ok(place);
      const index = Number(place.customer);
      served[index] = (served[index] ?? 0) + place.costMs / place.weight;
      left[index] = (left[index] ?? 0) - 1;
      history.push([...served]);
    }
    const longest = flows.map(
      ({weight, costsMs}) => Math.max(...costsMs) / weight,
    );
    flows.forEach((_, f) =>
      flows.slice(0, f).forEach((__, g) => {
        const lead = history.map(at => (at[f] ?? 0) - (at[g] ?? 0));
        const boundMs = (longest[f] ?? 0) + (longest[g] ?? 0) + 1e-6;
        assert.ok(Math.max(...lead) - Math.min(...lead) <= boundMs);
      }),
    );
  });
  fc.assert(property, PARAMETERS);
}

/**
 * With k own requests ahead, all of the same cost, a request waits for at most
 * k + 2 requests of each other customer, however many arrive later.
 */
function checkNoStarvation(): void {
  const equalPlace = anyPlace.map(place => ({
    ...place,
    priority: 0,
    weight: 1,
    dueAtMs: 0,
    costMs: 10,
  }));
  const step = fc.oneof(equalPlace, fc.constant<Step>('take'));
  const property = fc.property(
    fc.array(step, {maxLength: 80}),
    equalPlace,
    fc.array(equalPlace, {minLength: 200, maxLength: 200}),
    (steps, watched, later) => {
      const queue = play(steps);
      const own = queue
        .ahead({...watched, priority: 0})
        .filter(({customer}) => customer === watched.customer).length;
      const place = {...watched};
      queue.add(place, place);
      const bound = own + CUSTOMERS.length * (own + 2);
      const takes = later.findIndex(next => {
        const other = {...next};
        queue.add(other, other);
        return queue.take() === place;
      });
      assert.ok(takes >= 0 && takes <= bound, `${takes} of ${bound}`);
    },
  );
  fc.assert(property, PARAMETERS);
}

function checkSlackBound(): void {
  const request = fc.record({
    nowMs: fc.integer({min: 0, max: 3 * MAX_SLACK_MS}),
    queueTimeoutMs: fc.integer({min: 1, max: 60_000}),
  });
  const property = fc.property(fc.array(request, {maxLength: 40}), requests => {
    const queue = new FairQueue<number>();
    requests
      .toSorted((a, b) => a.nowMs - b.nowMs)
      .forEach(({nowMs, queueTimeoutMs}) => {
        const place = createPlace(
          {priority: 0, customer: 'a', queueTimeoutMs},
          {customerShares: 'equal', costMs: 10, nowMs},
        );
        queue.add(nowMs, place);
      });
    let latestMs = -Infinity;
    for (let at = queue.take(); at !== undefined; at = queue.take()) {
      assert.ok(latestMs <= at + MAX_SLACK_MS);
      latestMs = Math.max(latestMs, at);
    }
  });
  fc.assert(property, PARAMETERS);
}

function checkAhead(): void {
  const property = fc.property(anySteps, anyPlace, (steps, place) => {
    const queue = play(steps);
    const expected = queue.ahead(place);
    queue.add(place, place);
    const order = drain(queue);
    assert.deepEqual(order.slice(0, order.indexOf(place)), expected);
  });
  fc.assert(property, PARAMETERS);
}

/** A queue from which a request was withdrawn goes on as if it had never come. */
function checkWithdrawal(): void {
  const property = fc.property(anySteps, anyPlace, (steps, request) => {
    const withdrawn = {...request};
    const queue = play(steps);
    queue.add(withdrawn, withdrawn);
    assert.equal(queue.remove(withdrawn), true);
    assert.equal(queue.remove(withdrawn), false);
    assert.deepEqual(drain(queue), drain(play(steps)));
  });
  fc.assert(property, PARAMETERS);
}

const CHECKS: Readonly<Record<string, () => void>> = {
  'the most urgent priority goes first': checkStrictPriority,
  'requests are served by priority and age without shares':
    checkOrderWithoutShares,
  'backlogged customers get their shares within one request': checkShares,
  'no request waits for more than its part of the others': checkNoStarvation,
  'a request that has waited for the bound goes before later ones':
    checkSlackBound,
  'the requests expected ahead are those that are served before': checkAhead,
  'a withdrawn request is never served, and costs its customer nothing':
    checkWithdrawal,
};

Then(/^in any sequence, (.+)$/, (rule: string) => {
  const check = CHECKS[rule];
  assert.ok(check, rule);
  check();
});

/** What happens at a gate. */
type GateEvent =
  | {readonly kind: 'arrive'; readonly place: Place; readonly mayWait: boolean}
  | {readonly kind: 'release' | 'withdraw'; readonly number: number}
  | {readonly kind: 'resize'; readonly slots: number};

const anyEvent: fc.Arbitrary<GateEvent> = fc.oneof(
  fc.record({
    kind: fc.constant('arrive' as const),
    place: anyPlace,
    mayWait: fc.boolean(),
  }),
  fc.record({
    kind: fc.constantFrom('release' as const, 'withdraw' as const),
    number: fc.nat(),
  }),
  fc.record({
    kind: fc.constant('resize' as const),
    slots: fc.integer({min: 1, max: 4}),
  }),
);

const WAIT_MS = 60_000;

/** Plays events at a gate; after each of them no slot is free in vain. */
async function checkWorkConserving(
  customerShares: CustomerShares,
  events: readonly GateEvent[],
): Promise<void> {
  const queue = new SlotQueue({customerShares});
  const held: Slot[] = [];
  const aborts: AbortController[] = [];
  let slots = 1;
  const handlers = {
    arrive: ({place, mayWait}: Extract<GateEvent, {kind: 'arrive'}>) => {
      const abort = new AbortController();
      aborts.push(abort);
      const queueTimeoutMs = mayWait ? WAIT_MS : 0;
      const waiter = {...place, queueTimeoutMs, signal: abort.signal};
      void queue.acquire(waiter).then(slot => {
        if (slot.kind === 'slot') held.push(slot);
      });
    },
    release: ({number}: {readonly number: number}) => {
      held.splice(number % Math.max(1, held.length), 1)[0]?.release();
    },
    withdraw: ({number}: {readonly number: number}) => {
      aborts[number % Math.max(1, aborts.length)]?.abort();
    },
    resize: (event: {readonly slots: number}) => {
      ({slots} = event);
      queue.resize(slots);
    },
  };
  for (const event of events) {
    (handlers[event.kind] as (event: GateEvent) => void)(event);
    await nextTurn();
    const isFull = queue.running >= slots;
    assert.ok(queue.waiting === 0 || isFull, 'a slot is free in vain');
    assert.equal(queue.running, held.length);
  }
  aborts.forEach(abort => abort.abort());
  held.forEach(slot => slot.release());
  await nextTurn();
  assert.equal(queue.running + queue.waiting, 0);
}

Then(
  'with customer shares {string}, any sequence of arrivals, releases and withdrawals leaves no slot free while requests wait',
  async (customerShares: CustomerShares) => {
    const events = fc.array(anyEvent, {maxLength: 40});
    const property = fc.asyncProperty(events, sequence =>
      checkWorkConserving(customerShares, sequence),
    );
    await fc.assert(property, {seed: SEED, numRuns: 200});
  },
);
