/** Steps for callers outside the limits; each scenario has its own daemon. */
import assert from 'node:assert/strict';
import {execFileSync} from 'node:child_process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  After,
  BeforeAll,
  Given,
  setDefaultTimeout,
  Then,
  When,
} from '@cucumber/cucumber';
import {until} from '../../features/support/fleet.js';
import {
  Crowd,
  MEDIUM_PATH,
  MEDIUM_RESPONSE_BYTES,
} from '../support/platform_crowd.js';
import type {LimitedDaemon} from '../support/limited_daemon.js';
import {LimitedFleet, type FleetPlan} from '../support/limited_fleet.js';

interface LimitState {
  readonly fleet: LimitedFleet;
  readonly crowds: Crowd[];
  exitCode?: number | null;
  statuses?: readonly number[];
  readBytes?: Promise<readonly number[]>;
}

const STEP_TIMEOUT_MS = 60_000;
/** How long a crowd may send before its effect is checked. */
const CROWD_MS = 6000;
/** Beyond the timeout of a request. */
const SETTLE_TIMEOUT_MS = 40_000;

const states = new WeakMap<object, LimitState>();

setDefaultTimeout(STEP_TIMEOUT_MS);
BeforeAll(() => {
  execFileSync(process.execPath, ['scripts/build.mjs', '--platform']);
});

After(async function () {
  states.get(this)?.crowds.forEach(crowd => crowd.end());
  await states.get(this)?.fleet.stop();
});

/** The daemon that the callers of a scenario use: the first router, if any. */
function daemonOf(world: object): LimitedDaemon {
  const daemon = stateOf(world).fleet.daemons.slice(0, 2).at(-1);
  assert.ok(daemon);
  return daemon;
}

function stateOf(world: object): LimitState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

async function startFleet(world: object, plan: FleetPlan): Promise<void> {
  const fleet = new LimitedFleet(plan);
  states.set(world, {fleet, crowds: []});
  await fleet.start();
}

Given(
  'a mesh daemon with {int} MB of memory and {int} descriptors',
  function (memoryMb: number, maxDescriptors: number) {
    return startFleet(this, {resources: {memoryMb, maxDescriptors}});
  },
);

When(/^(\d+) callers send (.*)$/, async function (count: string, kind: string) {
  const {crowds} = stateOf(this);
  crowds.push(new Crowd(kind, Number(count), daemonOf(this).listens));
  await sleep(CROWD_MS);
});

Given(
  'a gate and {int} router(s) with {int} MB of memory each',
  function (routerCount: number, memoryMb: number) {
    return startFleet(this, {
      resources: {memoryMb, maxDescriptors: 4100},
      routerCount,
      maxBodyBytes: 67_108_864,
      serviceMs: 1500,
    });
  },
);

When(
  /^(\d+) callers at each router send (.*)$/,
  async function (count: string, kind: string) {
    const {fleet, crowds} = stateOf(this);
    fleet.routers.forEach(({listens}) =>
      crowds.push(new Crowd(kind, Number(count), listens)),
    );
    await sleep(CROWD_MS);
  },
);

When('each of them was answered or its connection closed', async function () {
  const {crowds} = stateOf(this);
  const areSettled = () => crowds.every(({isSettled}) => isSettled);
  await until('all callers are settled', areSettled, SETTLE_TIMEOUT_MS);
});

When('they close their connections', function () {
  stateOf(this).crowds.forEach(crowd => crowd.end());
});

Then('each process runs and took at most {int} MB', function (maxMb: number) {
  const {daemons} = stateOf(this).fleet;
  const peaks = daemons.map(({peakMemoryMb}) => Math.round(peakMemoryMb));
  daemons.forEach(({process}) =>
    assert.ok(process.running, process.errors.join('\n')),
  );
  assert.ok(Math.max(...peaks) <= maxMb, `${peaks.join()} MB`);
});

Then('an ordinary request at each daemon is answered', async function () {
  const {daemons} = stateOf(this).fleet;
  const sent = daemons.map(daemon => daemon.sendOrdinary());
  const statuses = await Promise.all(sent);
  assert.deepEqual(
    statuses,
    daemons.map(() => 200),
  );
});

When('the process gets SIGTERM', async function () {
  const state = stateOf(this);
  state.exitCode = await daemonOf(this).process.end('SIGTERM');
});

Then(
  'the process runs and took at most {int} MB and {int} descriptors',
  function (maxMb: number, maxDescriptors: number) {
    const daemon = daemonOf(this);
    assert.ok(daemon.process.running, daemon.process.errors.join('\n'));
    assertWithin(daemon, maxMb, maxDescriptors);
  },
);

Then(
  'the process has ended by itself and took at most {int} MB and {int} descriptors',
  function (maxMb: number, maxDescriptors: number) {
    const daemon = daemonOf(this);
    const {exitCode} = stateOf(this);
    assert.equal(exitCode, 0);
    assertWithin(daemon, maxMb, maxDescriptors);
  },
);

function assertWithin(
  daemon: LimitedDaemon,
  maxMb: number,
  maxDescriptors: number,
): void {
  const {peakMemoryMb, peakDescriptors} = daemon;
  const seen = `${Math.round(peakMemoryMb)} MB, ${peakDescriptors} descriptors`;
  const isWithin = peakMemoryMb <= maxMb && peakDescriptors <= maxDescriptors;
  assert.ok(isWithin, seen);
}

Then('an ordinary request is answered', async function () {
  assert.equal(await daemonOf(this).sendOrdinary(), 200);
});

Given(
  'a mesh daemon with {int} MB of memory and bodies of up to {int} bytes',
  function (memoryMb: number, maxBodyBytes: number) {
    const resources = {memoryMb, maxDescriptors: 4100};
    return startFleet(this, {resources, maxBodyBytes});
  },
);

When(
  '{int} callers upload {int} bytes each at the same time',
  async function (count: number, bodyBytes: number) {
    const state = stateOf(this);
    const body = Buffer.alloc(bodyBytes);
    state.statuses = await Promise.all(
      Array.from({length: count}, () => daemonOf(this).sendOrdinary(body)),
    );
  },
);

When(
  'a caller uploads {int} bytes in chunks',
  async function (bodyBytes: number) {
    const state = stateOf(this);
    const fields = {'transfer-encoding': 'chunked'};
    const body = Buffer.alloc(bodyBytes);
    state.statuses = [await daemonOf(this).sendOrdinary(body, fields)];
  },
);

Then('all of them are served', function () {
  const {statuses = []} = stateOf(this);
  const daemon = daemonOf(this);
  assert.ok(daemon.process.running);
  assert.ok(
    statuses.every(status => status === 200),
    statuses.join(),
  );
});

When(
  '{int} callers begin to read medium responses slowly but steadily',
  function (count: number) {
    const state = stateOf(this);
    state.readBytes = Promise.all(
      Array.from({length: count}, () => daemonOf(this).readSlowly(MEDIUM_PATH)),
    );
  },
);

Then('all slow callers get their whole response', async function () {
  const readBytes = await stateOf(this).readBytes;
  assert.ok(readBytes && readBytes.length > 0);
  assert.ok(
    readBytes.every(bytes => bytes === MEDIUM_RESPONSE_BYTES),
    readBytes.join(),
  );
});
