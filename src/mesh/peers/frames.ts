/**
 * Frames between daemons over WebSocket, encoded by msgpackr. The daemon that
 * opened the connection asks; the one that accepted it answers, and tells its
 * own state now and then.
 */
import {Packr} from 'msgpackr';
import {Failure, reasonOf} from '../../errors/failure.js';
import type {Declined, Outcome, SlotRequest, Work} from '../gate/work.js';
import type {ShareAnswer, ShareRequest} from '../limits/shared_limits.js';
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
  | {readonly kind: 'share'; readonly id: number; readonly ask: ShareRequest}
  | {readonly kind: 'configuration'; readonly id: number};

/** The gate at the moment of an answer; a whole status comes rarely. */
export type Load = Pick<BackendStatus, 'running' | 'waiting' | 'trust'>;

/** Frames of the daemon that accepted the connection. */
export type Response =
  | {readonly kind: 'status'; readonly status: VmStatus}
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
  | {readonly kind: 'share'; readonly id: number; readonly share: ShareAnswer}
  | {
      readonly kind: 'configuration';
      readonly id: number;
      readonly configuration: FleetConfiguration | undefined;
    };

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: true});

/**
 * Each daemon sends its status to all others, so it travels as a list of
 * values without their names.
 */
const STATUS_KEYS = [
  'instance',
  'service',
  'state',
  'slots',
  'isCold',
  'trust',
  'running',
  'waiting',
  'holdMs',
] as const satisfies readonly (keyof BackendStatus)[];

type PackedStatus = readonly [
  version: number,
  isStopping: boolean,
  ...backend: readonly unknown[],
];

/** The bytes of a frame. */
export function encodeFrame(frame: Request | Response): Buffer {
  return packr.pack(frame.kind === 'status' ? packStatus(frame.status) : frame);
}

/** Reads a frame; throws `frameInvalid` if it isn't one. */
export function decodeFrame<Frame extends Request | Response>(
  bytes: Buffer,
  peer: string,
): Frame {
  try {
    const value = packr.unpack(bytes) as Frame | PackedStatus | undefined;
    if (isPackedStatus(value)) return unpackStatus(value) as Frame;
    if (typeof value?.kind === 'string') return value;
  } catch (err) {
    throw new Failure('frameInvalid', {peer, reason: reasonOf(err)}, err);
  }
  throw new Failure('frameInvalid', {peer, reason: 'no kind'});
}

function packStatus(status: VmStatus): PackedStatus {
  const {backend, configurationVersion, isStopping} = status;
  const values = backend ? STATUS_KEYS.map(key => backend[key]) : [];
  return [configurationVersion, isStopping, ...values];
}

function isPackedStatus(value: unknown): value is PackedStatus {
  return Array.isArray(value);
}

function unpackStatus(packed: PackedStatus): Response {
  const [configurationVersion, isStopping, ...values] = packed;
  const entries = STATUS_KEYS.map((key, index) => [key, values[index]]);
  const backend =
    values.length === STATUS_KEYS.length
      ? (Object.fromEntries(entries) as BackendStatus)
      : undefined;
  return {
    kind: 'status',
    status: {backend, configurationVersion, isStopping},
  };
}
