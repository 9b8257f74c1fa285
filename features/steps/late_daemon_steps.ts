/** Steps for daemons that are late themselves. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {Outcome, Reservation, Work} from '../../src/mesh/gate/work.js';
import {blockFor} from '../support/late_event_loop.js';
import type {MeshVm} from '../support/mesh_fleet.js';
import type {World} from '../support/world.js';
import {stateOf} from './mesh_path_steps.js';

/** More than it takes until a connection is being opened. */
const TICKS = 20;

const outcomes = new WeakMap<World, Outcome>();

const ID = 'direct';
const WORK: Work = {
  requestId: ID,
  method: 'GET',
  path: '/once/',
  headers: ['host', 'app.example', NAMES.requestId, ID],
  body: Buffer.alloc(0),
  leftMs: 60_000,
  isRepeat: false,
};

/** Reserves a slot at the gate of a VM, as the router of that VM does. */
async function reserveAt({daemon}: MeshVm): Promise<Reservation> {
  const slot = {
    requestId: ID,
    service: 'pay',
    route: 'once',
    priority: 1,
    objectiveMs: 400,
    leftMs: 0,
    assurance: 'none',
  } as const;
  const result = await daemon.gate.reserve(slot, new AbortController().signal);
  assert.ok(result.kind === 'reserved', JSON.stringify(result));
  return result;
}

/** Keeps the process busy before it reads from any socket again. */
function blockAfterTicks(ticks: number, ms: number): void {
  if (ticks === 0) return blockFor(ms);
  process.nextTick(() => blockAfterTicks(ticks - 1, ms));
}

When(
  'VM {int} runs a request and is then busy for {int} ms',
  async function (this: World, index: number, busyMs: number) {
    const reservation = await reserveAt(stateOf(this).fleet.vm(index));
    const outcome = reservation.run(WORK, new AbortController().signal);
    blockAfterTicks(TICKS, busyMs);
    outcomes.set(this, await outcome);
  },
);

Then('the instance has answered it', function (this: World) {
  const {kind, ...rest} = outcomes.get(this) ?? {};
  assert.equal(kind, 'answered', JSON.stringify(rest));
});

Then(
  'the gate of VM {int} regards its instance as {string}',
  function (this: World, index: number, state: string) {
    const {status} = stateOf(this).fleet.vm(index).daemon.gate;
    assert.equal(status?.state, state);
  },
);
