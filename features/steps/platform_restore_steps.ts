/** Steps for a store that is replaced by an older copy of itself. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {ConfigurationSource} from '../../platform/configuration_source.js';
import {StoreClient} from '../../platform/store_client.js';
import {StoreFollower} from '../../platform/store_follower.js';
import {VmRegistry} from '../../platform/vm_registry.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {until} from '../support/fleet.js';
import type {PlatformStore} from '../support/platform_store.js';
import type {World} from '../support/world.js';
import {stateOf as fleetStateOf} from './mesh_path_steps.js';
import {
  RENEWAL_DUE_MS,
  stateOf,
  VM_KEY_PREFIX,
} from './platform_adapter_steps.js';

const registries = new WeakMap<object, Map<string, VmRegistry>>();
const sources = new WeakMap<object, ConfigurationSource>();
/** Renewals closer together than this count as one. */
const RENEWAL_POLL_MS = 20;
/** The store's revision when it was replaced by its copy. */
const lostRevisions = new WeakMap<object, number>();

Given('a copy of the store', function () {
  stateOf(this).store.keepCopy();
});

Given('a daemon {string} that registers', registerDaemon);

async function registerDaemon(this: object, id: string): Promise<void> {
  const {address, log, end, store} = stateOf(this);
  const known = registries.get(this) ?? new Map<string, VmRegistry>();
  registries.set(this, known);
  const registry = new VmRegistry({
    store: new StoreClient(address, new MeshMetrics()),
    peers: {applyList: () => undefined},
    self: {id, address: '127.0.0.1:9', failureDomain: 'a'},
    log,
    onStoreRegained: () => undefined,
  });
  known.set(id, registry);
  void registry.run(end.signal);
  const isListed = () => store.keys(VM_KEY_PREFIX + id).length === 1;
  await until(`${id} is listed`, isListed, 2000);
}

When(
  'the store is unavailable for {int} ms and comes back from its copy',
  async function (downMs: number) {
    const {store} = stateOf(this);
    store.isUnavailable = true;
    store.cutConnections();
    await sleep(downMs);
    lostRevisions.set(this, store.revision);
    store.restoreCopy();
    store.isUnavailable = false;
  },
);

When(
  'the store does not answer for {int} ms and comes back from its copy',
  async function (silentMs: number) {
    const {store} = stateOf(this);
    store.isSilent = true;
    await sleep(silentMs);
    store.restoreCopy();
    store.isSilent = false;
  },
);

When('other writers reach the revision of before', function () {
  const {store} = stateOf(this);
  const lostRevision = lostRevisions.get(this) ?? 0;
  while (store.revision <= lostRevision) {
    store.write({Key: 'others/1', Value: ''});
  }
});

When(
  'the daemon {string} has called the store again and withdraws',
  async function (id: string) {
    // Its next call may be the renewal.
    await sleep(RENEWAL_DUE_MS);
    await registries.get(this)?.get(id)?.withdraw();
  },
);

Then(
  'the daemons {string} are listed {int} ms later',
  async function (ids: string, laterMs: number) {
    // That an entry stays can only be checked after a delay.
    await sleep(laterMs);
    const expected = ids.split(' ').map(id => VM_KEY_PREFIX + id);
    assert.deepEqual(
      stateOf(this).store.keys(VM_KEY_PREFIX).toSorted(),
      expected,
    );
  },
);

Then(
  'version {int} is still in force {int} ms later',
  async function (version: number, laterMs: number) {
    // The absence of an older version can only be checked after a delay.
    await sleep(laterMs);
    assert.equal(stateOf(this).tracker.version, version);
  },
);

Then(
  'the log has one restored store within {int} ms',
  async function (withinMs: number) {
    const {events} = stateOf(this);
    const isLogged = () => events.includes('store-restored');
    await until('the log tells of the restored store', isLogged, withinMs);
    const logged = events.filter(event => event === 'store-restored');
    assert.equal(logged.length, 1);
  },
);

Then(
  'at any time within {int} ms a renewal is at most {int} ms away',
  async function (withinMs: number, gapMs: number) {
    const {store} = stateOf(this);
    const startedAtMs = performance.now();
    const renewedAtMs = [startedAtMs];
    while (performance.now() - startedAtMs < withinMs) {
      const seen = renewalsOf(store);
      await sleep(RENEWAL_POLL_MS);
      if (renewalsOf(store) > seen) renewedAtMs.push(performance.now());
    }
    const gaps = renewedAtMs
      .slice(1)
      .map((at, index) => at - (renewedAtMs[index] ?? at));
    // The first gap is the time from the registrations to the first renewal.
    assert.ok(Math.max(...gaps.slice(1)) <= gapMs, gaps.map(Math.round).join());
  },
);

function renewalsOf({calls}: PlatformStore): number {
  return calls.filter(({operation}) => operation === 'kv-keep').length;
}

Given(
  'a source of the configuration that follows the store',
  async function () {
    const {address, tracker, log, end} = stateOf(this);
    const client = new StoreClient(address, new MeshMetrics());
    const source = new ConfigurationSource(client, tracker, log);
    sources.set(this, source);
    void source.run(end.signal);
    await until('version 1', () => tracker.version === 1, 2000);
  },
);

When(
  'the store is unavailable for {int} ms and the source is refreshed meanwhile',
  async function (downMs: number) {
    const {store} = stateOf(this);
    store.isUnavailable = true;
    store.cutConnections();
    await sleep(downMs);
    sources.get(this)?.refresh();
    store.isUnavailable = false;
    const watches = watchesOf(store);
    await until('a new watch', () => watchesOf(store) > watches, 2000);
  },
);

When('the source is refreshed', function () {
  sources.get(this)?.refresh();
});

function watchesOf({calls}: PlatformStore): number {
  return calls.filter(({operation}) => operation === 'kv-watch').length;
}

Given('its responses name the era {string}', function (field: string) {
  stateOf(this).store.eraField = field;
});

Then('the log has no restored store', function () {
  assert.ok(!stateOf(this).events.includes('store-restored'));
});

Given(
  'all daemons of the fleet follow the store',
  async function (this: World) {
    const {address, log, end} = stateOf(this);
    const {vms} = fleetStateOf(this).fleet;
    vms.forEach(({daemon}) => {
      const {configurationTracker: tracker, peers, self} = daemon;
      const metrics = new MeshMetrics();
      const options = {address, self, tracker, peers, log, metrics};
      void new StoreFollower(options).run(end.signal);
    });
    await untilListed(this, 2000);
  },
);

async function untilListed(world: World, withinMs: number): Promise<void> {
  const {store} = stateOf(world);
  const {vms} = fleetStateOf(world).fleet;
  const isListed = () => store.keys(VM_KEY_PREFIX).length === vms.length;
  await until('all daemons are listed', isListed, withinMs);
}

Then(
  'version {int} is in force on the whole fleet within {int} ms',
  async function (this: World, version: number, withinMs: number) {
    const {vms} = fleetStateOf(this).fleet;
    const isInForce = () =>
      vms.every(({daemon}) => daemon.configurationTracker.version === version);
    await until(`version ${version}`, isInForce, withinMs);
  },
);

Then(
  'all daemons of the fleet are listed within {int} ms',
  async function (this: World, withinMs: number) {
    await untilListed(this, withinMs);
  },
);
