/** Steps for the encoding of frames between daemons. */
import assert from 'node:assert/strict';
import {Then, When} from '@cucumber/cucumber';
import {Failure} from '../../src/errors/failure.js';
import type {BackendStatus, VmStatus} from '../../src/mesh/model.js';
import {
  decodeFrame,
  encodeFrame,
  isEqualExceptLoad,
  type RequestFrame,
  type ResponseFrame,
} from '../../src/mesh/peers/frames.js';

type Frame = RequestFrame | ResponseFrame;

const ID = 70_000;
const REQUEST_ID = 'f4d28b47d0f575f0';
const INSTANCE = 'i-296a413443';
const LOAD = {running: 3, waiting: 1, trust: 'clear'} as const;

/** One frame of each kind that belongs to a request. */
const FRAMES: Readonly<Record<string, Frame>> = {
  reserve: {
    kind: 'reserve',
    id: ID,
    slot: {
      requestId: REQUEST_ID,
      service: 'pay',
      route: 'once',
      priority: 1,
      objectiveMs: 1500,
      leftMs: 0,
      assurance: 'trusted',
    },
  },
  withdraw: {kind: 'withdraw', id: ID},
  run: {
    kind: 'run',
    id: ID,
    work: {
      requestId: REQUEST_ID,
      method: 'POST',
      path: '/once/1',
      headers: ['Accept', '*/*'],
      body: Buffer.from('0123456789'),
      leftMs: 2480.5,
      isRepeat: false,
    },
  },
  share: {
    kind: 'share',
    id: ID,
    ask: {limit: 'rate:big', spent: 0},
  },
  granted: {
    kind: 'share',
    id: ID,
    share: {isGranted: true, retryAfterMs: 0},
  },
  'repeat ask': {
    kind: 'repeat',
    id: ID,
    payment: {service: 'pay', lots: [[1.25, 1600.5]], spent: 0},
  },
  part: {kind: 'part', payment: {groups: [0, 2], partMs: 26.5}},
  payment: {
    kind: 'payment',
    payment: {service: 'pay', lots: [[1.25, 1600.5]], spent: 0},
  },
  'repeat granted': {kind: 'repeat', id: ID, isGranted: true},
  reserved: {
    kind: 'reserved',
    id: ID,
    instance: INSTANCE,
    lateAfterMs: 612.25,
    load: LOAD,
  },
  declined: {
    kind: 'declined',
    id: ID,
    why: {kind: 'declined', reason: 'busy', waitMs: 120},
    load: LOAD,
  },
  answered: outcome({
    kind: 'answered',
    instance: INSTANCE,
    status: 200,
    headers: ['Content-Type', 'text/plain'],
    body: Buffer.from('done'),
  }),
  unknown: outcome({kind: 'unknown', instance: INSTANCE, reason: 'reset'}),
  rejected: outcome({
    kind: 'not-run',
    instance: INSTANCE,
    reason: 'status 421',
    hasArrived: true,
  }),
};

function outcome(
  result: Extract<ResponseFrame, {readonly kind: 'outcome'}>['outcome'],
): Frame {
  return {kind: 'outcome', id: ID, outcome: result, load: LOAD};
}

const BACKEND: BackendStatus = {
  instance: INSTANCE,
  service: 'pay',
  state: 'ready',
  slots: 5,
  isCold: false,
  ...LOAD,
};
const STATUS: VmStatus = {
  backend: BACKEND,
  configurationVersion: 12,
  isStopping: false,
};

/** The status with one field changed. */
const CHANGED: Readonly<Record<string, VmStatus>> = {
  instance: withBackend({instance: 'i-0000000000'}),
  state: withBackend({state: 'draining'}),
  slots: withBackend({slots: 4}),
  version: {...STATUS, configurationVersion: 13},
  stopping: {...STATUS, isStopping: true},
};

function withBackend(changes: Partial<BackendStatus>): VmStatus {
  return {...STATUS, backend: {...BACKEND, ...changes}};
}

/** State of one scenario. */
interface FrameState {
  frame?: Frame;
  bytes: Buffer;
  changed?: VmStatus;
}

const states = new WeakMap<object, FrameState>();

function stateOf(world: object): FrameState {
  const known = states.get(world) ?? {bytes: Buffer.alloc(0)};
  states.set(world, known);
  return known;
}

function encode(world: object, frame: Frame | undefined): void {
  assert.ok(frame);
  Object.assign(stateOf(world), {frame, bytes: encodeFrame(frame)});
}

When('a {string} frame is encoded', function (name: string) {
  encode(this, FRAMES[name]);
});

When('a load frame is encoded', function () {
  encode(this, {kind: 'load', load: {...LOAD, isCold: false}});
});

When(
  'a load frame with a wait for a turn of {int} ms is encoded',
  function (turnWaitMs: number) {
    encode(this, {kind: 'load', load: {...LOAD, isCold: false, turnWaitMs}});
  },
);

Then('the bytes contain none of its field names', function () {
  const {frame, bytes} = stateOf(this);
  const text = bytes.toString('latin1');
  // The kind of a frame may be spelled like one of its field names.
  const names = namesIn(frame).filter(name => name !== frame?.kind);
  assert.ok(names.length > 0);
  names.forEach(name => assert.ok(!text.includes(name), name));
});

/**
 * Field names of an object and of the objects in it, without short names, which
 * may occur in the bytes by chance.
 */
function namesIn(value: unknown): readonly string[] {
  if (Buffer.isBuffer(value) || Array.isArray(value)) return [];
  if (typeof value !== 'object' || value === null) return [];
  return Object.entries(value)
    .flatMap(([name, inner]) => [name, ...namesIn(inner)])
    .filter(name => name.length >= 4);
}

Then('the frame takes at most {int} bytes', function (most: number) {
  const {bytes} = stateOf(this);
  assert.ok(bytes.length <= most, `${bytes.length}`);
});

Then('decoding the bytes gives the same frame', function () {
  const {frame, bytes} = stateOf(this);
  assert.deepEqual(decodeFrame(bytes, 'peer'), frame);
});

When(/^the (\w+) of a gate changes$/, function (field: string) {
  stateOf(this).changed = CHANGED[field];
});

Then('sending its load alone is not enough', function () {
  const {changed} = stateOf(this);
  assert.ok(changed);
  assert.equal(isEqualExceptLoad(STATUS, changed), false);
  const busier = withBackend({running: 4, trust: 'suspect'});
  assert.equal(isEqualExceptLoad(STATUS, busier), true);
});

When('bytes that are not a frame are decoded', function () {
  stateOf(this).bytes = Buffer.from('GET / HTTP/1.1');
});

Then('decoding fails with {string}', function (name: string) {
  const {bytes} = stateOf(this);
  assert.throws(
    () => decodeFrame(bytes, 'peer'),
    err => err instanceof Failure && err.failure === name,
  );
});
