/** Steps for what instances say of themselves in their responses. */
import assert from 'node:assert/strict';
import {Given, Then} from '@cucumber/cucumber';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {World} from '../support/world.js';
import {stateOf} from './mesh_path_steps.js';

Given(
  'the instance of VM {int} names a limit of {string} per second',
  function (this: World, index: number, limit: string) {
    const {notices} = stateOf(this).fleet.vm(index).backend;
    notices.set(NAMES.rateLimit, limit);
  },
);

Given(
  'the instance of VM {int} says that it leaves',
  function (this: World, index: number) {
    stateOf(this).fleet.vm(index).backend.notices.set(NAMES.leaving, '1');
  },
);

Then(
  'the log has the limit {float} of the instance of VM {int}',
  function (this: World, limitPerS: number, index: number) {
    const {fleet} = stateOf(this);
    const logged = fleet.lines.filter(({event}) => event === 'backend-limit');
    assert.deepEqual(
      logged.map(line => [line['instance'], line['limitPerS']]),
      [[`instance-${fleet.vm(index).id}`, limitPerS]],
    );
  },
);

Then(
  'the log has an invalid limit {string}',
  function (this: World, limit: string) {
    const {lines} = stateOf(this).fleet;
    const logged = lines.find(({event}) => event === 'backend-limit-invalid');
    assert.equal(logged?.['limit'], limit);
  },
);

Then(
  'the log tells that the instance of VM {int} leaves',
  function (this: World, index: number) {
    const {fleet} = stateOf(this);
    const logged = fleet.lines.filter(({event}) => event === 'backend-leaving');
    const instances = logged.map(line => line['instance']);
    assert.deepEqual(instances, [`instance-${fleet.vm(index).id}`]);
  },
);

async function exportedLimit(world: World, index: number): Promise<string> {
  const {metrics} = stateOf(world).fleet.vm(index).daemon.boundAddresses;
  const res = await fetch(`http://${metrics}/metrics`);
  const text = await res.text();
  const [, value = ''] =
    /^chicorycourse_backend_limit_per_second (\S+)$/m.exec(text) ?? [];
  return value;
}

Then(
  'VM {int} exports a limit of {string} per second',
  async function (this: World, index: number, limit: string) {
    assert.equal(await exportedLimit(this, index), limit);
  },
);

Then('VM {int} exports no limit', async function (this: World, index: number) {
  assert.equal(await exportedLimit(this, index), '');
});
