/** Steps for the links between mesh daemons. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {until} from '../support/fleet.js';
import type {World} from '../support/world.js';
import {stateOf} from './mesh_path_steps.js';

/** Port 9 discards what it gets, where it is served at all. */
const UNUSED = {id: 'gone', address: '127.0.0.1:9', failureDomain: 'test'};
const ATTEMPTS_MS = 5000;

function failuresOf(world: World): readonly unknown[] {
  return stateOf(world)
    .fleet.lines.filter(({event}) => event === 'peer-connect-failed')
    .map(({attempts}) => attempts);
}

When('vm-0 is given a peer that nothing listens for', function (this: World) {
  stateOf(this).fleet.vm(0).daemon.peers.upsert(UNUSED);
});

When('2 attempts to connect to it have failed', async function (this: World) {
  const haveFailed = () => failuresOf(this).length === 2;
  await until('two attempts failed', haveFailed, ATTEMPTS_MS);
});

Then(
  'the metrics of vm-0 count 1 open link and the failed attempts',
  async function (this: World) {
    const {daemon} = stateOf(this).fleet.vm(0);
    const res = await fetch(`http://${daemon.boundAddresses.metrics}/metrics`);
    const page = await res.text();
    assert.match(page, /^chicorycourse_peer_links\{state="open"\} 1$/m);
    const failed =
      /^chicorycourse_peer_connect_seconds_count\{outcome="failed"\} (\d+)$/m;
    assert.ok(Number(failed.exec(page)?.[1]) >= 2, page);
  },
);

Then('its log has the first two failures', function (this: World) {
  assert.deepEqual(failuresOf(this), [1, 2]);
});
