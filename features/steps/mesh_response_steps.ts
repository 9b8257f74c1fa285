/** Steps for responses of instances that are incomplete, invalid or early. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {until} from '../support/fleet.js';
import type {World} from '../support/world.js';
import {configuration, send, SERVICE, stateOf} from './mesh_path_steps.js';

const SLOTS = 2;
/** Memory of a daemon beside its budget for bodies. */
const PROCESS_MB = 110;
const MAX_BODY_BYTES = 20_000_000;

Given(
  'the daemons have {int} MB of memory for bodies',
  function (this: World, budgetMb: number) {
    const memoryMb = PROCESS_MB + budgetMb;
    const resources = {memoryMb, maxDescriptors: 4100};
    stateOf(this).fleet.settings = {resources};
  },
);

Given(
  'a mesh fleet whose only instance of the service is at VM 1',
  async function (this: World) {
    const {fleet} = stateOf(this);
    await fleet.start(['other', SERVICE], SLOTS);
    const base = configuration(1);
    const limits = {...base.limits, maxBodyBytes: MAX_BODY_BYTES};
    fleet.configure({...base, limits});
  },
);

async function upload(
  world: World,
  index: number,
  bytes: number,
  path: string,
): Promise<void> {
  const state = stateOf(world);
  const body = Buffer.alloc(bytes);
  const answer = await send(state.fleet.vm(index), {
    path,
    key: 'key-big',
    body,
  });
  state.answers = answer ? [answer] : [];
}

When(
  'a caller of VM {int} uploads {int} bytes to {string}',
  async function (this: World, index: number, bytes: number, path: string) {
    await upload(this, index, bytes, path);
  },
);

When(
  '{int} callers of VM {int} upload {int} bytes to {string} in turn',
  async function (
    this: World,
    count: number,
    index: number,
    bytes: number,
    path: string,
  ) {
    for (let sent = 0; sent < count; sent += 1) {
      await upload(this, index, bytes, path);
    }
  },
);

Then(
  'the response has the body {string}',
  function (this: World, body: string) {
    assert.equal(stateOf(this).answers[0]?.body, body);
  },
);

Then(
  'one line tells that the run failed with {string}',
  function (this: World, reason: string) {
    const {fleet, answers} = stateOf(this);
    const lines = fleet.lines.filter(
      ({event, id}) => event === 'run-failed' && id === answers[0]?.id,
    );
    assert.equal(lines.length, 1);
    assert.match(String(lines[0]?.reason), new RegExp(reason));
  },
);

Then(
  'within {int} ms no slot is held',
  async function (this: World, withinMs: number) {
    const {vms} = stateOf(this).fleet;
    const isIdle = () => vms.every(({daemon}) => daemon.gate.isIdle);
    await until('no slot is held', isIdle, withinMs);
  },
);

Then('no connection between daemons was lost', function (this: World) {
  const lost = stateOf(this).fleet.lines.filter(l => l.event === 'peer-lost');
  assert.deepEqual(lost, []);
});
