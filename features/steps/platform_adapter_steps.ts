/** Steps for the platform adapter, run against a stand-in for its store. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
} from '../../platform/configuration_document.js';
import {decodeHeartbeat} from '../../platform/heartbeat_server.js';
import {StoreClient} from '../../platform/store_client.js';
import {StoreFollower} from '../../platform/store_follower.js';
import {VmRegistry} from '../../platform/vm_registry.js';
import {reasonOf} from '../../src/errors/failure.js';
import type {DecisionLog} from '../../src/log/decision_log.js';
import {ConfigurationTracker} from '../../src/mesh/configuration/configuration_tracker.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import type {FleetConfiguration, Vm} from '../../src/mesh/model.js';
import {Peers} from '../../src/mesh/peers/peers.js';
import {until} from '../support/fleet.js';
import {documentOf, HEARTBEAT} from '../support/platform_documents.js';
import {PlatformStore} from '../support/platform_store.js';

interface AdapterState {
  readonly store: PlatformStore;
  readonly end: AbortController;
  readonly events: string[];
  readonly tracker: ConfigurationTracker;
  readonly log: DecisionLog;
  address: string;
  decoded?: FleetConfiguration;
  rejectionReason: string;
  registry?: VmRegistry;
}

const states = new WeakMap<object, AdapterState>();
/** The ids that each of several daemons found in the list. */
const foundBy = new WeakMap<
  object,
  readonly {readonly id: string; readonly found: ReadonlySet<string>}[]
>();
/** A lease is renewed every 3 s. */
export const RENEWAL_DUE_MS = 3500;
export const VM_KEY_PREFIX = 'chicorycourse/vms/';

export function stateOf(world: object): AdapterState {
  const known = states.get(world);
  if (known) return known;
  const events: string[] = [];
  const recordEvent = (event: string) => void events.push(event);
  const log = {step: recordEvent, failure: recordEvent, belief: recordEvent};
  const metrics = new MeshMetrics();
  const onChange = () => undefined;
  const state = {
    store: new PlatformStore(),
    end: new AbortController(),
    events,
    log,
    tracker: new ConfigurationTracker({log, metrics, onChange}),
    address: '',
    rejectionReason: '',
  };
  states.set(world, state);
  return state;
}

After(function () {
  const state = states.get(this);
  state?.end.abort();
  state?.store.stop();
});

const DOCUMENT_FAULTS: Readonly<Record<string, (text: string) => string>> = {
  'a prefix without end slash': text => text.replace('/unsafe/', '/unsafe'),
  'an unknown kind': text => text.replace('"safe"', '"perhaps"'),
  'a negative rate': text => text.replace('"RatePerS":5', '"RatePerS":-5'),
  'no resources': text => text.replace('"Resources"', '"Others"'),
  'half of its text': text => text.slice(0, text.length / 2),
};

const HEARTBEAT_FAULTS: Readonly<Record<string, (text: string) => string>> = {
  'an unknown state': text => text.replace('"ready"', '"resting"'),
  'slots as text': text => text.replace('"Concurrency":3', '"Concurrency":"3"'),
  'no sequence': text => text.replace('"Sequence":4,', ''),
  "bytes that aren't JSON": () => '\u0000\u0001',
};

function rejectionReasonOf(action: () => unknown): string {
  try {
    action();
    return '';
  } catch (err) {
    return reasonOf(err);
  }
}

/** Starts the store with a first version; resolves to its address. */
export async function startStore(
  world: object,
  version: number,
): Promise<string> {
  const state = stateOf(world);
  state.address = await state.store.start();
  writeVersion(world, version);
  return state.address;
}

export function writeVersion(world: object, version: number): void {
  writeDocument(stateOf(world), documentOf(formatVersion(version)));
}

function writeDocument(state: AdapterState, text: string): void {
  const Value = Buffer.from(text).toString('base64');
  state.store.write({Key: CONFIGURATION_KEY, Value});
}

function formatVersion(version: number): string {
  return version.toString(16).padStart(8, '0');
}

When('the document of version {string} is decoded', function (version: string) {
  stateOf(this).decoded = decodeConfiguration(documentOf(version));
});

When(/^the document is decoded with (.+)$/, function (fault: string) {
  const broken = DOCUMENT_FAULTS[fault]?.(documentOf('0000000c')) ?? '';
  stateOf(this).rejectionReason = rejectionReasonOf(() =>
    decodeConfiguration(broken),
  );
});

When(/^a heartbeat is decoded with (.+)$/, function (fault: string) {
  const broken = HEARTBEAT_FAULTS[fault]?.(HEARTBEAT) ?? '';
  stateOf(this).rejectionReason = rejectionReasonOf(() =>
    decodeHeartbeat('i-1', broken),
  );
});

When(
  'a document whose first route has kind {string} is decoded',
  function (kind: string) {
    const text = documentOf('0000000c').replace('"safe"', `"${kind}"`);
    stateOf(this).decoded = decodeConfiguration(text);
  },
);

Then(
  /^requests on its first route (may|may not) be repeated$/,
  function (may: string) {
    const [route] = stateOf(this).decoded?.routes ?? [];
    assert.equal(route?.isIdempotent, may === 'may');
  },
);

Then(
  'version {int} has a route that may be repeated and one that may not',
  function (version: number) {
    const {decoded} = stateOf(this);
    assert.equal(decoded?.version, version);
    const kinds = decoded.routes.map(({isIdempotent}) => isIdempotent);
    assert.deepEqual(kinds, [true, false]);
  },
);

Then(
  'the split route has two services with weights {int} and {int}',
  function (first: number, second: number) {
    const weights = stateOf(this).decoded?.routes[0]?.targets.map(
      ({weight}) => weight,
    );
    assert.deepEqual(weights, [first, second]);
  },
);

Then('it is rejected, and the reason names {string}', function (place: string) {
  assert.ok(
    stateOf(this).rejectionReason.includes(place),
    stateOf(this).rejectionReason,
  );
});

Given(
  "the platform's store with version {int}",
  async function (version: number) {
    await startStore(this, version);
  },
);

Given("the platform's store without a configuration", async function () {
  const state = stateOf(this);
  state.address = await state.store.start();
});

When(
  'a daemon has followed the store for {int} ms',
  async function (ms: number) {
    startFollowing(stateOf(this));
    // The absence of calls can only be checked after a delay.
    await sleep(ms);
  },
);

Then(
  'the calls to the store were {int} lease, {int} write, {int} read and {int} watches of the configuration, and {int} list that is not stale',
  function (
    leases: number,
    writes: number,
    reads: number,
    watches: number,
    lists: number,
  ) {
    const {calls} = stateOf(this).store;
    const count = (operation: string, prefix = '') =>
      calls.filter(
        call =>
          call.operation === operation &&
          call.prefix === prefix &&
          !call.isStale,
      ).length;
    assert.deepEqual(
      [
        count('kv-lease'),
        count('kv-txn'),
        count('kv-range', CONFIGURATION_KEY),
        count('kv-watch', CONFIGURATION_KEY),
        count('kv-range', VM_KEY_PREFIX),
      ],
      [leases, writes, reads, watches, lists],
      JSON.stringify(calls),
    );
  },
);

When('{int} daemons register at the same time', function (count: number) {
  const {address, log, end} = stateOf(this);
  const numbers = Array.from({length: count}, (_, index) => index);
  foundBy.set(
    this,
    numbers.map(index => {
      const id = `vm-${index}`;
      const self = {id, address: `127.0.0.1:${index + 1}`, failureDomain: 'a'};
      const found = new Set<string>();
      const registry = new VmRegistry({
        store: new StoreClient(address, new MeshMetrics()),
        peers: {
          applyList: (vms: readonly Vm[]) =>
            vms.forEach(vm => found.add(vm.id)),
        },
        self,
        log,
        onStoreRegained: () => undefined,
      });
      void registry.run(end.signal);
      return {id, found};
    }),
  );
});

Then(
  'of each two of them one finds the other within {int} ms',
  async function (withinMs: number) {
    const all = foundBy.get(this) ?? [];
    assert.ok(all.length > 1);
    const isComplete = () =>
      all.every(a =>
        all.every(b => a === b || a.found.has(b.id) || b.found.has(a.id)),
      );
    await until('each pair is found', isComplete, withinMs);
  },
);

Given('a daemon that follows the store', async function () {
  const state = stateOf(this);
  startFollowing(state);
  await until('version 1', () => state.tracker.version === 1, 2000);
});

Given('a daemon that follows the store and is listed', async function () {
  const state = stateOf(this);
  startFollowing(state);
  const {store, tracker} = state;
  const isListed = () => store.keys(VM_KEY_PREFIX).length === 1;
  const isReady = () => tracker.version === 1 && isListed();
  await until('version 1 is in force, and the daemon listed', isReady, 2000);
});

function startFollowing(state: AdapterState): void {
  const {address, tracker, log, end} = state;
  const self = {id: 'vm-1', address: '127.0.0.1:9', failureDomain: 'a'};
  const peers = new Peers({
    metrics: new MeshMetrics(),
    self: () => self,
    log,
    onStatus: () => undefined,
    onFingerprints: () => undefined,
  });
  const metrics = new MeshMetrics();
  const options = {address, self, tracker, peers, log, metrics};
  void new StoreFollower(options).run(end.signal);
}

Given('a daemon that is listed', async function () {
  const {address, log, end, store} = stateOf(this);
  const client = new StoreClient(address, new MeshMetrics());
  const self = {id: 'vm-1', address: '127.0.0.1:9', failureDomain: 'a'};
  const peers = new Peers({
    metrics: new MeshMetrics(),
    self: () => self,
    log,
    onStatus: () => undefined,
    onFingerprints: () => undefined,
  });
  const onStoreRegained = () => undefined;
  const options = {store: client, peers, self, log, onStoreRegained};
  const registry = new VmRegistry(options);
  stateOf(this).registry = registry;
  void registry.run(end.signal);
  await until('listed', () => store.keys(VM_KEY_PREFIX).length === 1, 2000);
});

When('it withdraws', async function () {
  const {registry, store} = stateOf(this);
  await registry?.withdraw();
  assert.deepEqual(store.keys(VM_KEY_PREFIX), []);
});

Then('it is not listed when its next renewal is due', async function () {
  // The absence of an event can only be checked after a delay.
  await sleep(RENEWAL_DUE_MS);
  const {store, events} = stateOf(this);
  assert.deepEqual(store.keys(VM_KEY_PREFIX), []);
  assert.ok(!events.includes('vm-lease-lost'));
});

When('its lease expires', function () {
  stateOf(this).store.endAllLeases();
  assert.deepEqual(stateOf(this).store.keys(VM_KEY_PREFIX), []);
});

When('the operators write version {int}', function (version: number) {
  writeVersion(this, version);
});

When('the operators write a truncated document', async function () {
  const state = stateOf(this);
  writeDocument(state, documentOf('00000002').slice(0, 100));
  const isRefused = () => state.events.includes('configuration-refused');
  await until('refused', isRefused, 1000);
});

When('the store drops its history', function () {
  const {store} = stateOf(this);
  store.dropHistory();
  store.reads = 0;
});

Then('the log has one dropped history', async function () {
  const {events} = stateOf(this);
  const isLogged = () => events.includes('store-history-dropped');
  await until('dropped history', isLogged, 1000);
});

Then(
  'the store gets no more than {int} reads in {int} ms',
  async function (most: number, forMs: number) {
    const {store, events} = stateOf(this);
    // The absence of an event can only be checked after a delay.
    await sleep(forMs);
    assert.ok(store.reads <= most, `${store.reads} reads`);
    const drops = events.filter(event => event === 'store-history-dropped');
    assert.equal(drops.length, 1);
  },
);

When(
  'the store drops its history and the operators write version {int}',
  function (version: number) {
    const state = stateOf(this);
    state.store.dropHistory();
    writeDocument(state, documentOf(formatVersion(version)));
  },
);

When(
  'the store does not answer for {int} ms and loses its watches',
  async function (unansweredMs: number) {
    const {store} = stateOf(this);
    store.isSilent = true;
    await new Promise(resolve => setTimeout(resolve, unansweredMs));
    store.isSilent = false;
  },
);

When('the store is unavailable for {int} ms', async function (downMs: number) {
  const {store} = stateOf(this);
  store.isUnavailable = true;
  store.cutConnections();
  await new Promise(resolve => setTimeout(resolve, downMs));
  store.isUnavailable = false;
});

Then(
  'version {int} is in force within {int} ms',
  async function (version: number, withinMs: number) {
    const {tracker} = stateOf(this);
    const isInForce = () => tracker.version === version;
    await until(`version ${version}`, isInForce, withinMs);
  },
);

Then('the log has one loss and one recovery of the store', async function () {
  const {events} = stateOf(this);
  const countOf = (event: string) => events.filter(e => e === event).length;
  const isRegained = () => countOf('store-regained') === 1;
  await until('the recovery is logged', isRegained, 2000);
  assert.equal(countOf('store-lost'), 1);
});

Then('the log has one rejected configuration', function () {
  const refused = stateOf(this).events.filter(
    event => event === 'configuration-refused',
  );
  assert.equal(refused.length, 1);
});

Then(
  'the daemon is listed again within {int} ms',
  async function (withinMs: number) {
    const {store} = stateOf(this);
    const isListed = () => store.keys(VM_KEY_PREFIX).length === 1;
    await until('listed again', isListed, withinMs);
  },
);
