/**
 * Frames between daemons over WebSocket, encoded by msgpackr. The daemon that
 * opened the connection sends requests. The daemon that accepted it replies to
 * them, and sends its own status at intervals and on changes.
 */
import {Packr} from 'msgpackr';
import {Failure, reasonOf} from '../../errors/failure.js';
import type {
  Answered,
  Declined,
  Outcome,
  SlotRequest,
  Work,
} from '../gate/work.js';
import type {RepeatPayment} from '../limits/repeat_budget.js';
import type {PartPayment} from '../limits/rate_parts.js';
import type {FingerprintRecord} from '../router/query_of_death.js';
import type {TokenAnswer, TokenRequest} from '../limits/shared_limits.js';
import type {ReceiptFrame} from './body_receiver.js';
import type {PartFrame} from './body_sender.js';
import type {
  BackendStatus,
  FleetConfiguration,
  Vm,
  VmStatus,
} from '../model.js';

/** Frames sent by the daemon that opened the connection. */
export type RequestFrame =
  | {
      readonly kind: 'hello';
      readonly vm: Vm;
      /** Whether the daemon takes large responses in parts. */
      readonly takesParts?: boolean;
    }
  | {readonly kind: 'reserve'; readonly id: number; readonly slot: SlotRequest}
  | {readonly kind: 'withdraw'; readonly id: number}
  | {readonly kind: 'run'; readonly id: number; readonly work: Work}
  | {
      /** A run whose body follows in parts once the gate accepts it. */
      readonly kind: 'run-parts';
      readonly id: number;
      readonly work: Work;
      readonly bodyBytes: number;
    }
  | PartFrame
  | ReceiptFrame
  | {readonly kind: 'share'; readonly id: number; readonly ask: TokenRequest}
  | {
      readonly kind: 'repeat';
      readonly id: number;
      readonly payment: RepeatPayment;
    }
  | {readonly kind: 'part'; readonly payment: PartPayment}
  | {readonly kind: 'payment'; readonly payment: RepeatPayment}
  | {readonly kind: 'configuration'; readonly id: number};

/**
 * Load and trust of a gate at the time of a reply. The wait for a turn is sent
 * only while the instance names a limit; daemons that don't know it ignore it.
 */
export type GateLoad = Pick<
  BackendStatus,
  'running' | 'waiting' | 'trust' | 'turnWaitMs'
>;

/** The part of a status that changes often while the rest stays the same. */
export type BackendLoad = GateLoad & Pick<BackendStatus, 'isCold'>;

/** Frames sent by the daemon that accepted the connection. */
export type ResponseFrame =
  | {readonly kind: 'status'; readonly status: VmStatus}
  | {readonly kind: 'load'; readonly load: BackendLoad}
  | {
      readonly kind: 'fingerprints';
      readonly records: readonly FingerprintRecord[];
    }
  /** The daemon takes large bodies in parts; unknown to older daemons. */
  | {readonly kind: 'takes-parts'}
  | PartFrame
  | ReceiptFrame
  | {readonly kind: 'queued'; readonly id: number}
  | {
      readonly kind: 'reserved';
      readonly id: number;
      readonly instance: string;
      readonly lateAfterMs: number;
      readonly load: GateLoad;
    }
  | {
      readonly kind: 'declined';
      readonly id: number;
      readonly why: Declined;
      readonly load: GateLoad;
    }
  | {
      readonly kind: 'outcome';
      readonly id: number;
      readonly outcome: Outcome;
      readonly load: GateLoad;
    }
  | {
      /** An outcome whose body follows in parts once the router accepts it. */
      readonly kind: 'outcome-parts';
      readonly id: number;
      readonly outcome: Answered;
      readonly bodyBytes: number;
      readonly load: GateLoad;
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
      /**
       * Evacuated failure domains, if the peer knows them; missing from a
       * daemon that knows nothing of evacuations.
       */
      readonly evacuated?: readonly string[];
    };

/** Part of the URL path; daemons with another format can't connect. */
const FRAME_FORMAT = 3;
/** The URL path that peers connect to. */
export const PEER_PATH = `/frames/${FRAME_FORMAT}`;
const VM_PARAMETER = 'vm';

/** A daemon closes the connection of a peer that sends a larger frame. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;
/** Part of a frame for everything but the body; callers' headers are 64 KiB. */
const FRAME_OVERHEAD_BYTES = 256 * 1024;
/** Largest body that can be sent to a peer in one frame. */
export const MAX_FRAME_BODY_BYTES = MAX_FRAME_BYTES - FRAME_OVERHEAD_BYTES;
/** Larger bodies are sent in parts to peers that take them. */
export const MAX_WHOLE_BODY_BYTES = 512 * 1024;
/** Frames with a body of up to this size need no memory reserved. */
export const SMALL_FRAME_BYTES = 64 * 1024;
/** In place of a body that follows in parts. */
export const BODY_FOLLOWS = Buffer.alloc(0);

/** The URL of a peer's listener. It names the peer that is meant. */
export function peerUrl({id, address}: Vm): string {
  const query = new URLSearchParams({[VM_PARAMETER]: id});
  return `ws://${address}${PEER_PATH}?${query}`;
}

/** With which a daemon refuses a handshake that names another daemon. */
export const MISDIRECTED_STATUS = 401;

/** Whether a URL path names this daemon, or none. */
export function isMeantFor(vmId: string, urlPath: string): boolean {
  const [, query] = urlPath.split('?');
  const named = new URLSearchParams(query).get(VM_PARAMETER);
  return named === null || named === vmId;
}

/**
 * Field names of the frames that belong to a request, and of the objects in
 * them. Both sides know these shapes, so the names are not sent: they would
 * make up half of a small frame, and traffic between failure domains is
 * expensive. An object of any other shape is sent with its field names. The
 * order of the shapes and of their fields is part of the format.
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

/** Fields of the status and load frames, which are sent as lists of values. */
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

/** Encodes a frame for sending. */
export function encodeFrame(frame: RequestFrame | ResponseFrame): Buffer {
  if (frame.kind === 'status') return packr.pack(packStatus(frame.status));
  if (frame.kind === 'load') return packr.pack(packLoad(frame.load));
  return packr.pack(frame);
}

/** Whether two statuses are equal except for the load of their gates. */
export function isEqualExceptLoad(
  a: VmStatus | undefined,
  b: VmStatus,
): boolean {
  return (
    a?.configurationVersion === b.configurationVersion &&
    a.isStopping === b.isStopping &&
    IDENTITY_KEYS.every(key => a.backend?.[key] === b.backend?.[key])
  );
}

/** Decodes a frame; throws `frameInvalid` if the bytes are not a frame. */
export function decodeFrame<Frame extends RequestFrame | ResponseFrame>(
  bytes: Buffer,
  peer: string,
): Frame {
  try {
    const value: unknown = packr.unpack(bytes);
    const unpacked = Array.isArray(value) ? unpackValues(value) : value;
    const frame = unpacked as Frame | undefined;
    if (typeof frame?.kind === 'string') return frame;
  } catch (err) {
    throw new Failure('frameInvalid', {peer, reason: reasonOf(err)}, err);
  }
  throw new Failure('frameInvalid', {peer, reason: 'no kind'});
}

function packLoad(load: BackendLoad): PackedLoad {
  const {turnWaitMs} = load;
  const limitValues = turnWaitMs === undefined ? [] : [turnWaitMs];
  return ['load', ...LOAD_KEYS.map(key => load[key]), ...limitValues];
}

function packStatus(status: VmStatus): PackedStatus {
  const {backend, configurationVersion, isStopping} = status;
  const values = backend ? STATUS_KEYS.map(key => backend[key]) : [];
  return ['status', configurationVersion, isStopping, ...values];
}

function unpackValues(packed: readonly unknown[]): ResponseFrame | undefined {
  const [kind, ...values] = packed;
  if (kind === 'load') {
    const keys = [...LOAD_KEYS, 'turnWaitMs'].slice(0, values.length);
    return {kind, load: toObject(keys, values) as BackendLoad};
  }
  if (kind !== 'status') return undefined;
  const [version, stopping, ...backendValues] = values;
  const backend =
    backendValues.length === STATUS_KEYS.length
      ? (toObject(STATUS_KEYS, backendValues) as BackendStatus)
      : undefined;
  const configurationVersion = Number(version);
  const isStopping = stopping === true;
  return {kind, status: {backend, configurationVersion, isStopping}};
}

function toObject(
  keys: readonly string[],
  values: readonly unknown[],
): unknown {
  return Object.fromEntries(keys.map((key, index) => [key, values[index]]));
}
