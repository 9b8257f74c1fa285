/** Steps for connections to the store that go silent. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CONFIGURATION_KEY} from '../../platform/configuration_document.js';
import {StoreFollower} from '../../platform/store_follower.js';
import {ConfigurationTracker} from '../../src/mesh/configuration/configuration_tracker.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {until} from '../support/fleet.js';
import type {PlatformStore, StoreCall} from '../support/platform_store.js';
import {SilentRelay} from '../support/silent_relay.js';
import {
  startStore,
  stateOf,
  VM_KEY_PREFIX,
  writeVersion,
} from './platform_adapter_steps.js';

/** The daemons of one scenario, each with a store connection of its own. */
interface SilenceState {
  readonly relay: SilentRelay;
  readonly trackers: ConfigurationTracker[];
  silencedAtMs: number;
  readsBefore: number;
}

const states = new WeakMap<object, SilenceState>();
/** Since when the store has been slow, and by how much. */
const slowOf = new WeakMap<
  object,
  {readonly sinceMs: number; readonly delayMs: number}
>();
/** Renewals and lists come every 3 s, each halfway between two of the other. */
const CALL_INTERVAL_MS = 1500;
const CALL_DUE_MS = 4000;
const SHORTLY_MS = 50;

function silenceOf(world: object): SilenceState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

After(function () {
  states.get(this)?.relay.stop();
});

Given(
  "the platform's store with version {int}, reached through a relay",
  async function (version: number) {
    const address = await startStore(this, version);
    const relay = new SilentRelay(address);
    stateOf(this).address = await relay.start();
    const trackers: ConfigurationTracker[] = [];
    states.set(this, {relay, trackers, silencedAtMs: 0, readsBefore: 0});
  },
);

Given(
  '{int} daemons that follow the store, of which none can ask another',
  async function (count: number) {
    const {address, log, end, store} = stateOf(this);
    const {trackers} = silenceOf(this);
    const peers = {applyList: () => undefined};
    const metrics = new MeshMetrics();
    Array.from({length: count}, (_, index) => `vm-${index}`).forEach(id => {
      const onChange = () => undefined;
      const tracker = new ConfigurationTracker({log, metrics, onChange});
      trackers.push(tracker);
      const self = {id, address: '127.0.0.1:9', failureDomain: 'a'};
      const options = {address, self, tracker, peers, log, metrics};
      void new StoreFollower(options).run(end.signal);
    });
    const isReady = () =>
      trackers.every(({version}) => version === 1) &&
      store.keys(VM_KEY_PREFIX).length === count &&
      countCalls(store, 'kv-keep') >= count;
    await until('all follow the store and renew', isReady, 2 * CALL_DUE_MS);
  },
);

function countCalls({calls}: PlatformStore, operation: string): number {
  return calls.filter(call => call.operation === operation).length;
}

function countLists({calls}: PlatformStore): number {
  return calls.filter(({prefix}) => prefix === VM_KEY_PREFIX).length;
}

async function untilNext(count: () => number): Promise<void> {
  const before = count();
  await until('the next call', () => count() > before, CALL_DUE_MS);
}

/** Waits for a moment in the cycle of calls of one of the daemons. */
const MOMENTS: Readonly<
  Record<string, (store: PlatformStore) => Promise<void>>
> = {
  'right after a renewal': store =>
    untilNext(() => countCalls(store, 'kv-keep')),
  'right before a renewal': async store => {
    await untilNext(() => countLists(store));
    await sleep(CALL_INTERVAL_MS - SHORTLY_MS);
  },
  'right before a list': async store => {
    await untilNext(() => countCalls(store, 'kv-keep'));
    await sleep(CALL_INTERVAL_MS - SHORTLY_MS);
  },
  'between two calls': async store => {
    await untilNext(() => countLists(store));
    await sleep(CALL_INTERVAL_MS / 2);
  },
};

When(
  /^the connections go silent (right .*|between two calls)$/,
  async function (moment: string) {
    const {store} = stateOf(this);
    const state = silenceOf(this);
    await MOMENTS[moment]?.(store);
    state.readsBefore = countReads(store);
    state.relay.silenceOpen();
    state.silencedAtMs = performance.now();
  },
);

function countReads({calls}: PlatformStore): number {
  return calls.filter(({prefix}) => prefix === CONFIGURATION_KEY).length;
}

When(
  'the operators write version {int} {int} ms later',
  async function (version: number, laterMs: number) {
    await sleep(laterMs);
    writeVersion(this, version);
  },
);

Then(
  'version {int} is in force on all of them {int} ms after the silence',
  async function (version: number, afterMs: number) {
    const {silencedAtMs, trackers} = silenceOf(this);
    await sleep(silencedAtMs + afterMs - performance.now());
    const versions = trackers.map(tracker => tracker.version);
    assert.deepEqual(
      versions,
      versions.map(() => version),
    );
  },
);

Then(
  'none of them read the configuration more than {int} times',
  function (most: number) {
    const {trackers, readsBefore} = silenceOf(this);
    // Reads and watches, of all daemons.
    const reads = countReads(stateOf(this).store) - readsBefore;
    assert.ok(reads <= most * trackers.length, `${reads} reads and watches`);
  },
);

When('it has renewed its lease', async function () {
  await untilNext(() => countCalls(stateOf(this).store, 'kv-keep'));
});

When(
  'the store answers {int} ms late for {int} ms',
  async function (delayMs: number, forMs: number) {
    const {store} = stateOf(this);
    slowOf.set(this, {sinceMs: performance.now(), delayMs});
    store.delayMs = delayMs;
    await sleep(forMs);
    store.delayMs = 0;
  },
);

Given(
  'the store answers {int} ms late from now on',
  function (delayMs: number) {
    stateOf(this).store.delayMs = delayMs;
  },
);

Then(
  'at most {int} of at least {int} renewals and lists were sent twice',
  function (mostTwice: number, least: number) {
    const {calls} = stateOf(this).store;
    const slow = slowOf.get(this);
    assert.ok(slow);
    const arrivals = (isOfKind: (call: StoreCall) => boolean) =>
      calls
        .filter(call => call.atMs >= slow.sinceMs && isOfKind(call))
        .map(({atMs}) => atMs);
    const all = [
      arrivals(({operation}) => operation === 'kv-keep'),
      arrivals(({prefix}) => prefix === VM_KEY_PREFIX),
    ];
    const sent = all.flatMap(atMs => withoutRepeats(atMs, slow.delayMs));
    const repeats = all.flat().length - sent.length;
    assert.ok(sent.length >= least, JSON.stringify(all));
    assert.ok(repeats <= mostTwice, JSON.stringify(all));
  },
);

/** The next call of a kind is made after the response to the one before. */
function withoutRepeats(
  arrivalsMs: readonly number[],
  delayMs: number,
): readonly number[] {
  return arrivalsMs.reduce<readonly number[]>(
    (sent, atMs) =>
      atMs - (sent.at(-1) ?? -Infinity) < delayMs ? sent : [...sent, atMs],
    [],
  );
}

Then('the log has no silent store', function () {
  assert.ok(!stateOf(this).events.includes('store-silent'));
});
