/**
 * Frames between daemons over WebSocket, encoded by msgpackr. The daemon that
 * opened the connection asks; the one that accepted it answers, and tells its
 * own state now and then.
 */
import {Packr} from 'msgpackr';
import {Failure, reasonOf} from '../../errors/failure.js';
import type {Declined, Outcome, SlotRequest, Work} from '../gate/work.js';
import type {RepeatPayment} from '../limits/repeat_budget.js';
import type {PartPayment} from '../limits/rate_parts.js';
import type {TokenAnswer, TokenRequest} from '../limits/shared_limits.js';
import type {
  BackendStatus,
  FleetConfiguration,
  Vm,
  VmStatus,
} from '../model.js';

/** Frames of the daemon that opened the connection. */
export type Request =
  | {readonly kind: 'hello'; readonly vm: Vm}
  | {readonly kind: 'reserve'; readonly id: number; readonly slot: SlotRequest}
  | {readonly kind: 'withdraw'; readonly id: number}
  | {readonly kind: 'run'; readonly id: number; readonly work: Work}
  | {readonly kind: 'share'; readonly id: number; readonly ask: TokenRequest}
  | {
      readonly kind: 'repeat';
      readonly id: number;
      readonly payment: RepeatPayment;
    }
  | {readonly kind: 'part'; readonly payment: PartPayment}
  | {readonly kind: 'payment'; readonly payment: RepeatPayment}
  | {readonly kind: 'configuration'; readonly id: number};

/** The gate at the moment of an answer. */
export type Load = Pick<BackendStatus, 'running' | 'waiting' | 'trust'>;

/** What changes all the time of a gate that stays the same otherwise. */
export type BackendLoad = Load & Pick<BackendStatus, 'isCold'>;

/** Frames of the daemon that accepted the connection. */
export type Response =
  | {readonly kind: 'status'; readonly status: VmStatus}
  | {readonly kind: 'load'; readonly load: BackendLoad}
  | {readonly kind: 'queued'; readonly id: number}
  | {
      readonly kind: 'reserved';
      readonly id: number;
      readonly instance: string;
      readonly lateAfterMs: number;
      readonly load: Load;
    }
  | {
      readonly kind: 'declined';
      readonly id: number;
      readonly why: Declined;
      readonly load: Load;
    }
  | {
      readonly kind: 'outcome';
      readonly id: number;
      readonly outcome: Outcome;
      readonly load: Load;
    }
  | {readonly kind: 'share'; readonly id: number; readonly share: TokenAnswer}
  | {
      readonly kind: 'repeat';
      readonly id: number;
      readonly isGranted: boolean;
    }
  | {
      readonly kind: 'configuration';
      readonly id: number;
      readonly configuration: FleetConfiguration | undefined;
    };

/** Goes into the address of a connection; daemons of another one are refused. */
const FORMAT = 3;
/** Where peers connect. */
export const PEER_PATH = `/frames/${FORMAT}`;

/**
 * The shapes of the frames that come with each request. Both sides know them,
 * so the names of their fields don't travel: half of a small frame otherwise,
 * and what crosses failure domains is dear. An object of any other shape
 * brings its names along.
 */
const SHAPES = [
  ['kind', 'id'],
  ['kind', 'id', 'slot'],
  ['kind', 'id', 'work'],
  ['kind', 'id', 'ask'],
  ['kind', 'id', 'share'],
  ['kind', 'id', 'instance', 'lateAfterMs', 'load'],
  ['kind', 'id', 'why', 'load'],
  ['kind', 'id', 'outcome', 'load'],
  [
    'requestId',
    'service',
    'route',
    'priority',
    'objectiveMs',
    'leftMs',
    'assurance',
  ],
  ['requestId', 'method', 'path', 'headers', 'body', 'leftMs', 'isRepeat'],
  ['limit', 'spent'],
  ['groups', 'partMs'],
  ['kind', 'id', 'payment'],
  ['kind', 'payment'],
  ['service', 'lots', 'spent'],
  ['kind', 'id', 'isGranted'],
  ['isGranted', 'retryAfterMs'],
  ['running', 'waiting', 'trust'],
  ['kind', 'reason', 'waitMs'],
  ['kind', 'instance', 'status', 'headers', 'body'],
  ['kind', 'instance', 'reason'],
  ['kind', 'instance', 'reason', 'hasArrived'],
];

const packr = new Packr({
  structures: SHAPES,
  maxSharedStructures: SHAPES.length,
  encodeUndefinedAsNil: true,
});

/** What each daemon tells all others now and then, as lists of values. */
const LOAD_KEYS = ['running', 'waiting', 'trust', 'isCold'] as const;
const IDENTITY_KEYS = ['instance', 'service', 'state', 'slots'] as const;
const STATUS_KEYS = [
  ...IDENTITY_KEYS,
  ...LOAD_KEYS,
] as const satisfies readonly (keyof BackendStatus)[];

type PackedLoad = readonly [kind: 'load', ...load: readonly unknown[]];
type PackedStatus = readonly [
  kind: 'status',
  version: number,
  isStopping: boolean,
  ...backend: readonly unknown[],
];

/** The bytes of a frame. */
export function encodeFrame(frame: Request | Response): Buffer {
  if (frame.kind === 'status') return packr.pack(packStatus(frame.status));
  if (frame.kind === 'load') return packr.pack(packLoad(frame.load));
  return packr.pack(frame);
}

/** Whether two statuses differ in the load of their gates alone. */
export function isSameButLoad(a: VmStatus | undefined, b: VmStatus): boolean {
  return (
    a?.configurationVersion === b.configurationVersion &&
    a.isStopping === b.isStopping &&
    IDENTITY_KEYS.every(key => a.backend?.[key] === b.backend?.[key])
  );
}

/** Reads a frame; throws `frameInvalid` if it isn't one. */
export function decodeFrame<Frame extends Request | Response>(
  bytes: Buffer,
  peer: string,
): Frame {
  try {
    const value: unknown = packr.unpack(bytes);
    const told = Array.isArray(value) ? unpackTold(value) : value;
    const frame = told as Frame | undefined;
    if (typeof frame?.kind === 'string') return frame;
  } catch (err) {
    throw new Failure('frameInvalid', {peer, reason: reasonOf(err)}, err);
  }
  throw new Failure('frameInvalid', {peer, reason: 'no kind'});
}

function packLoad(load: BackendLoad): PackedLoad {
  return ['load', ...LOAD_KEYS.map(key => load[key])];
}

function packStatus(status: VmStatus): PackedStatus {
  const {backend, configurationVersion, isStopping} = status;
  const values = backend ? STATUS_KEYS.map(key => backend[key]) : [];
  return ['status', configurationVersion, isStopping, ...values];
}

function unpackTold(packed: readonly unknown[]): Response | undefined {
  const [kind, ...values] = packed;
  if (kind === 'load') {
    return {kind, load: withNames(LOAD_KEYS, values) as BackendLoad};
  }
  if (kind !== 'status') return undefined;
  const [version, stopping, ...told] = values;
  const backend =
    told.length === STATUS_KEYS.length
      ? (withNames(STATUS_KEYS, told) as BackendStatus)
      : undefined;
  const configurationVersion = Number(version);
  const isStopping = stopping === true;
  return {kind, status: {backend, configurationVersion, isStopping}};
}

function withNames(
  keys: readonly string[],
  values: readonly unknown[],
): unknown {
  return Object.fromEntries(keys.map((key, index) => [key, values[index]]));
}
