/** Steps for evacuations in the stand-in for the platform's store. */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {StoreFollower} from '../../platform/store_follower.js';
import {reasonOf} from '../../src/errors/failure.js';
import {EvacuatedDomains} from '../../src/mesh/evacuation/evacuated_domains.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {loadMeshSettings} from '../../src/mesh/settings.js';
import {until} from '../support/fleet.js';
import type {PlatformStore} from '../support/platform_store.js';
import {stateOf} from './platform_adapter_steps.js';
import {configureProcess, daemonOf, post} from './platform_process_steps.js';

/** One daemon that follows evacuations. */
interface Follower {
  readonly domains: EvacuatedDomains;
  /** Each set that was known, as text. */
  readonly history: string[];
  /** The configuration's version when evacuations became known. */
  versionAtFirst: number | undefined;
}

const followers = new WeakMap<object, Follower>();
const KEY_PREFIX = 'op/evacuate/';
const EMPTY_OBJECT = Buffer.from('{}').toString('base64');

function followerOf(world: object): Follower {
  const follower = followers.get(world);
  assert.ok(follower);
  return follower;
}

Given('a daemon that follows evacuations', function () {
  const {address, tracker, log, end} = stateOf(this);
  const metrics = new MeshMetrics();
  const history: string[] = [];
  const domains = new EvacuatedDomains({
    isEnabled: true,
    log,
    metrics,
    onChange: () => {
      follower.versionAtFirst ??= tracker.version;
      history.push(domains.known?.join(' ') ?? 'unknown');
    },
  });
  const follower: Follower = {domains, history, versionAtFirst: undefined};
  followers.set(this, follower);
  const self = {id: 'vm-1', address: '127.0.0.1:9', failureDomain: 'a'};
  const peers = {applyList: () => undefined};
  const options = {address, self, tracker, peers, log, metrics};
  void new StoreFollower({...options, evacuations: domains}).run(end.signal);
});

function evacuate(store: PlatformStore, domain: string): void {
  store.write({Key: KEY_PREFIX + domain, Value: EMPTY_OBJECT});
}

Given('the operators evacuate {string}', function (domain: string) {
  evacuate(stateOf(this).store, domain);
});

When(
  'the operators revert the evacuation of {string}',
  function (domain: string) {
    stateOf(this).store.remove(KEY_PREFIX + domain);
  },
);

When('the operators write the key {string}', function (key: string) {
  stateOf(this).store.write({Key: key, Value: EMPTY_OBJECT});
});

Given('the store sends {int} item per page', function (count: number) {
  stateOf(this).store.pageSize = count;
});

function afterSecondPage(world: object, change: () => void): void {
  const {store} = stateOf(world);
  let pages = 0;
  store.onPage = () => {
    pages += 1;
    if (pages === 2) change();
  };
}

Given(
  'after the second page the operators revert the evacuation of {string}',
  function (domain: string) {
    const {store} = stateOf(this);
    afterSecondPage(this, () => store.remove(KEY_PREFIX + domain));
  },
);

Given(
  'after the second page the operators evacuate {string}',
  function (domain: string) {
    const {store} = stateOf(this);
    afterSecondPage(this, () => evacuate(store, domain));
  },
);

Then(
  'the daemon knows the evacuations {string} within {int} ms',
  async function (names: string, withinMs: number) {
    const {domains} = followerOf(this);
    const isKnown = () => domains.known?.join(' ') === names;
    await until(`evacuations ${names}`, isKnown, Math.max(1, withinMs));
  },
);

Then(
  'no configuration was in force before the evacuations were known',
  function () {
    assert.equal(followerOf(this).versionAtFirst, 0);
  },
);

Then(
  'the daemon has known the evacuations {string} all the time',
  function (names: string) {
    assert.deepEqual(followerOf(this).history, [names]);
  },
);

const REVERSALS: Readonly<
  Record<string, (store: PlatformStore, key: string) => void | Promise<void>>
> = {
  'the history is dropped': (store, key) => {
    store.remove(key);
    store.dropHistory();
  },
  'the store is unavailable': async (store, key) => {
    store.isUnavailable = true;
    store.cutConnections();
    store.remove(key);
    await sleep(400);
    store.isUnavailable = false;
  },
  'the store returns from a copy': async (store, key) => {
    store.isUnavailable = true;
    store.cutConnections();
    store.remove(key);
    store.keepCopy();
    await sleep(400);
    store.restoreCopy();
    store.isUnavailable = false;
  },
};

When(
  /^the evacuation of "(.+)" is reverted while (.+)$/,
  async function (domain: string, what: string) {
    await REVERSALS[what]?.(stateOf(this).store, KEY_PREFIX + domain);
  },
);

When('{int} ms pass without a change', async (ms: number) => {
  await sleep(ms);
});

Then(
  'the store got 1 read and 1 watch of {string}, and none of {string}',
  function (prefix: string, other: string) {
    const {calls} = stateOf(this).store;
    const operationsOn = (name: string) =>
      calls.filter(call => call.prefix === name).map(call => call.operation);
    assert.deepEqual(operationsOn(prefix), ['kv-range', 'kv-watch']);
    assert.deepEqual(operationsOn(other), []);
  },
);

Given(/^the settings have evacuation (.+)$/, function (value: string) {
  const evacuation: unknown = JSON.parse(value);
  configureProcess(this, {settings: evacuation ? {evacuation} : {}});
});

When('a caller sends one request', async function () {
  const daemon = daemonOf(this);
  daemon.status = await post(daemon.callers);
});

Then(
  'the caller gets status {int}, and the instance got {int} requests',
  function (status: number, seen: number) {
    const daemon = daemonOf(this);
    assert.deepEqual([daemon.status, daemon.seen.length], [status, seen]);
  },
);

When(/^settings with evacuation (.+) are checked$/, function (value: string) {
  const folder = mkdtempSync(path.join(tmpdir(), 'mesh-settings-'));
  const file = path.join(folder, 'settings.json');
  writeFileSync(file, JSON.stringify({evacuation: JSON.parse(value)}));
  try {
    loadMeshSettings(file);
  } catch (err) {
    stateOf(this).rejectionReason = reasonOf(err);
  } finally {
    rmSync(folder, {recursive: true});
  }
});

Then(
  'they are rejected, and the reason names {string}',
  function (name: string) {
    assert.match(stateOf(this).rejectionReason, new RegExp(name));
  },
);
