/** Steps for the time limit of a run at the gate, without a network. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {Gate} from '../../src/mesh/gate/gate.js';
import {isFinalStatus} from '../../src/mesh/gate/response_status.js';
import type {Outcome, Reservation, Work} from '../../src/mesh/gate/work.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {SILENT_LOG} from '../support/silent_log.js';
import type {World} from '../support/world.js';

interface RunWorld extends World {
  gate?: Gate;
  loggedEvents?: string[];
  outcome?: Outcome | undefined;
  tookMs?: number;
}

const INSTANCE = 'instance-1';
/** Far above each limit of the scenarios. */
const GIVE_UP_MS = 4000;
const SEED = 20_265;

Given(
  'a gate whose instance with {int} slot hangs',
  function (this: RunWorld, slots: number) {
    const events: string[] = [];
    this.loggedEvents = events;
    this.gate = new Gate({
      service: 'pay',
      client: {
        run: (_, {instance, signal}) =>
          new Promise(resolve => {
            signal.addEventListener('abort', () =>
              resolve({kind: 'unknown', instance, reason: 'cancelled'}),
            );
          }),
      },
      log: {...SILENT_LOG, failure: event => events.push(event)},
      metrics: new MeshMetrics(),
      onChange: () => undefined,
    });
    this.gate.applyHeartbeat({
      instance: INSTANCE,
      service: 'pay',
      state: 'ready',
      slots,
      coldForMs: 0,
      startedAtUnixMs: 1000,
      sequence: 1,
    });
  },
);

const REQUEST_ID = 'request-1';

async function reserve(
  world: RunWorld,
  signal: AbortSignal,
): Promise<Reservation> {
  const reservation = await world.gate?.reserve(
    {
      requestId: REQUEST_ID,
      service: 'pay',
      route: 'once',
      priority: 1,
      objectiveMs: 400,
      leftMs: 0,
      assurance: 'none',
    },
    signal,
  );
  assert.ok(reservation?.kind === 'reserved');
  return reservation;
}

function workWith(leftMs: number): Work {
  return {
    requestId: REQUEST_ID,
    method: 'POST',
    path: '/',
    headers: [],
    body: Buffer.alloc(0),
    leftMs,
    isRepeat: false,
  };
}

async function run(
  world: RunWorld,
  leftMs: number,
  signal: AbortSignal,
): Promise<void> {
  const reservation = await reserve(world, signal);
  const startedAtMs = performance.now();
  const end = new AbortController();
  const giveUp = sleep(GIVE_UP_MS, undefined, {signal: end.signal});
  world.outcome = await Promise.race([
    reservation.run(workWith(leftMs), signal),
    giveUp.catch(() => undefined),
  ]);
  world.tookMs = performance.now() - startedAtMs;
  end.abort();
}

When(
  'a router runs a request with {int} ms left and is never heard of again',
  async function (this: RunWorld, leftMs: number) {
    await run(this, leftMs, new AbortController().signal);
  },
);

When(
  'a router runs a request with {int} ms left and cancels it after {int} ms',
  async function (this: RunWorld, leftMs: number, afterMs: number) {
    await run(this, leftMs, AbortSignal.timeout(afterMs));
  },
);

When(
  'a router reserves a slot, the gate stops admitting, and the router runs a request',
  async function (this: RunWorld) {
    const {signal} = new AbortController();
    const reservation = await reserve(this, signal);
    this.gate?.stopAdmitting();
    this.outcome = await Promise.race([
      reservation.run(workWith(1000), signal),
      sleep(100, undefined),
    ]);
  },
);

When(
  'a router runs a request whose time left is no number',
  async function (this: RunWorld) {
    await run(this, NaN, AbortSignal.timeout(500));
  },
);

Then('the request was not run', function (this: RunWorld) {
  assert.equal(this.outcome?.kind, 'not-run');
  assert.equal(this.gate?.status?.running, 0);
});

Then(
  'the run ends between {int} and {int} ms later with an unknown outcome',
  function (this: RunWorld, minMs: number, maxMs: number) {
    assert.equal(this.outcome?.kind, 'unknown');
    const {tookMs = 0} = this;
    assert.ok(tookMs >= minMs && tookMs <= maxMs, `${tookMs} ms`);
  },
);

Then(
  /^the gate has no running request and logged (the exceeded limit once|no exceeded limit)$/,
  function (this: RunWorld, logged: string) {
    assert.equal(this.gate?.status?.running, 0);
    const count = this.loggedEvents?.filter(e => e === 'run-limit-exceeded');
    assert.equal(count?.length, logged === 'no exceeded limit' ? 0 : 1);
  },
);

Then('for all integers only those from 200 to 599 are final statuses', () => {
  fc.assert(
    fc.property(fc.oneof(fc.integer(), fc.nat(1200)), status => {
      assert.equal(isFinalStatus(status), status >= 200 && status <= 599);
    }),
    {seed: SEED},
  );
});
