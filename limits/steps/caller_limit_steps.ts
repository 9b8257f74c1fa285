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
import {
  Crowd,
  MEDIUM_PATH,
  MEDIUM_RESPONSE_BYTES,
} from '../support/platform_crowd.js';
import {LimitedDaemon} from '../support/limited_daemon.js';

interface LimitState {
  readonly daemon: LimitedDaemon;
  crowd?: Crowd;
  exitCode?: number | null;
  statuses?: readonly number[];
  readBytes?: Promise<readonly number[]>;
}

const STEP_TIMEOUT_MS = 60_000;
/** How long a crowd may send before its effect is checked. */
const CROWD_MS = 6000;

const states = new WeakMap<object, LimitState>();

setDefaultTimeout(STEP_TIMEOUT_MS);
BeforeAll(() => {
  execFileSync(process.execPath, ['scripts/build.mjs', '--platform']);
});

After(async function () {
  states.get(this)?.crowd?.end();
  await states.get(this)?.daemon.stop();
});

function stateOf(world: object): LimitState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

Given(
  'a mesh daemon with {int} MB of memory and {int} descriptors',
  async function (memoryMb: number, maxDescriptors: number) {
    const daemon = await LimitedDaemon.start({memoryMb, maxDescriptors});
    states.set(this, {daemon});
  },
);

When(/^(\d+) callers send (.*)$/, async function (count: string, kind: string) {
  const state = stateOf(this);
  state.crowd = new Crowd(kind, Number(count), state.daemon.listens);
  await sleep(CROWD_MS);
});

When('the process gets SIGTERM', async function () {
  const state = stateOf(this);
  state.exitCode = await state.daemon.process.end('SIGTERM');
});

Then(
  'the process runs and took at most {int} MB and {int} descriptors',
  function (maxMb: number, maxDescriptors: number) {
    const {daemon} = stateOf(this);
    assert.ok(daemon.process.running, daemon.process.errors.join('\n'));
    assertWithin(daemon, maxMb, maxDescriptors);
  },
);

Then(
  'the process has ended by itself and took at most {int} MB and {int} descriptors',
  function (maxMb: number, maxDescriptors: number) {
    const {daemon, exitCode} = stateOf(this);
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
  assert.equal(await stateOf(this).daemon.sendOrdinary(), 200);
});

Given(
  'a mesh daemon with {int} MB of memory and bodies of up to {int} bytes',
  async function (memoryMb: number, maxBodyBytes: number) {
    const resources = {memoryMb, maxDescriptors: 4100};
    const daemon = await LimitedDaemon.start(resources, maxBodyBytes);
    states.set(this, {daemon});
  },
);

When(
  '{int} callers upload {int} bytes each at the same time',
  async function (count: number, bodyBytes: number) {
    const state = stateOf(this);
    const body = Buffer.alloc(bodyBytes);
    state.statuses = await Promise.all(
      Array.from({length: count}, () => state.daemon.sendOrdinary(body)),
    );
  },
);

When(
  'a caller uploads {int} bytes in chunks',
  async function (bodyBytes: number) {
    const state = stateOf(this);
    const fields = {'transfer-encoding': 'chunked'};
    const body = Buffer.alloc(bodyBytes);
    state.statuses = [await state.daemon.sendOrdinary(body, fields)];
  },
);

Then('all of them are served', function () {
  const {statuses = [], daemon} = stateOf(this);
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
      Array.from({length: count}, () => state.daemon.readSlowly(MEDIUM_PATH)),
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
