/** Steps for entries in the list of daemons that other writers left. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {StoreFollower} from '../../platform/store_follower.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {Peers} from '../../src/mesh/peers/peers.js';
import {until} from '../support/fleet.js';
import {stateOf, VM_KEY_PREFIX} from './platform_adapter_steps.js';

const VALID = {id: 'vm-2', address: '127.0.0.1:9', failureDomain: 'a'};
const NESTING_DEPTH = 50_000;
/** The connections are tried again within this time. */
const RECONNECT_MS = 300;

function withAddress(address: unknown): string {
  return JSON.stringify({...VALID, id: 'odd', address});
}

const ODD_ENTRIES: Readonly<Record<string, string | Buffer>> = {
  'a port out of range': withAddress('127.0.0.1:70000'),
  'a negative port': withAddress('127.0.0.1:-1'),
  'an address that is a word': withAddress('a b:1'),
  'an empty address': withAddress(''),
  'a number too large': `{"id":"odd","address":${'9'.repeat(400)}}`,
  'very deep nesting':
    '{"id":"odd","address":' +
    '['.repeat(NESTING_DEPTH) +
    ']'.repeat(NESTING_DEPTH) +
    '}',
  'no failure domain': JSON.stringify({id: 'odd', address: '127.0.0.1:9'}),
  "bytes that can't be decoded": Buffer.from([0xc3, 0x28, 0x00, 0xff]),
};

const peersByWorld = new WeakMap<object, Peers>();

Given(
  /^an entry with (.+) and a valid one in the list of daemons$/,
  function (fault: string) {
    const {store} = stateOf(this);
    const entries = [
      ['odd', ODD_ENTRIES[fault]],
      [VALID.id, JSON.stringify(VALID)],
    ] as const;
    entries.forEach(([id, value]) => {
      assert.ok(value !== undefined, fault);
      const Value = Buffer.from(value).toString('base64');
      store.write({Key: VM_KEY_PREFIX + id, Value});
    });
  },
);

When('a daemon reads the list', async function () {
  const {address, tracker, log, end} = stateOf(this);
  const self = {id: 'vm-1', address: '127.0.0.1:9', failureDomain: 'a'};
  const peers = new Peers({
    metrics: new MeshMetrics(),
    self: () => self,
    log,
    onStatus: () => undefined,
    onFingerprints: () => undefined,
  });
  peersByWorld.set(this, peers);
  end.signal.addEventListener('abort', () => peers.stop());
  const metrics = new MeshMetrics();
  const options = {address, self, tracker, peers, log, metrics};
  void new StoreFollower(options).run(end.signal);
  await until('the list is read', () => peers.count() > 0, 2000);
  // A faulty address shows when the connection is opened.
  await new Promise(resolve => setTimeout(resolve, RECONNECT_MS));
});

Then('it knows the valid entry alone', function () {
  const ids = peersByWorld.get(this)?.links.map(({vm}) => vm.id);
  assert.deepEqual(ids, [VALID.id]);
});

Then('the log names the invalid entry', function () {
  assert.ok(stateOf(this).events.includes('vm-entry-invalid'));
});
