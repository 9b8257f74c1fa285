/**
 * Frames between daemons over WebSocket, encoded by msgpackr. The daemon that
 * opened the connection asks; the one that accepted it answers, and tells its
 * own state now and then.
 */
import {Packr} from 'msgpackr';
import {Failure, reasonOf} from '../../errors/failure.js';
import type {Declined, Outcome, SlotRequest, Work} from '../gate/work.js';
import type {ShareAnswer, ShareRequest} from '../limits/shared_limits.js';
import type {FleetConfiguration, Vm, VmStatus} from '../model.js';

/** Frames of the daemon that opened the connection. */
export type Request =
  | {readonly kind: 'hello'; readonly vm: Vm}
  | {readonly kind: 'reserve'; readonly id: number; readonly slot: SlotRequest}
  | {readonly kind: 'withdraw'; readonly id: number}
  | {readonly kind: 'run'; readonly id: number; readonly work: Work}
  | {readonly kind: 'share'; readonly id: number; readonly ask: ShareRequest}
  | {readonly kind: 'configuration'; readonly id: number};

/** Frames of the daemon that accepted the connection. */
export type Response =
  | {readonly kind: 'status'; readonly status: VmStatus}
  | {readonly kind: 'queued'; readonly id: number}
  | {
      readonly kind: 'reserved';
      readonly id: number;
      readonly instance: string;
      readonly lateAfterMs: number;
    }
  | {readonly kind: 'declined'; readonly id: number; readonly why: Declined}
  | {readonly kind: 'outcome'; readonly id: number; readonly outcome: Outcome}
  | {readonly kind: 'share'; readonly id: number; readonly share: ShareAnswer}
  | {
      readonly kind: 'configuration';
      readonly id: number;
      readonly configuration: FleetConfiguration | undefined;
    };

const packr = new Packr({useRecords: false, encodeUndefinedAsNil: true});

/** The bytes of a frame. */
export function encodeFrame(frame: Request | Response): Buffer {
  return packr.pack(frame);
}

/** Reads a frame; throws `frameInvalid` if it isn't one. */
export function decodeFrame<Frame extends Request | Response>(
  bytes: Buffer,
  peer: string,
): Frame {
  try {
    const value = packr.unpack(bytes) as Frame | undefined;
    if (typeof value?.kind === 'string') return value;
  } catch (err) {
    throw new Failure('frameInvalid', {peer, reason: reasonOf(err)}, err);
  }
  throw new Failure('frameInvalid', {peer, reason: 'no kind'});
}
