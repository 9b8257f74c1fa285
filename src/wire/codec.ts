/**
 * Frames between daemons, encoded with msgpackr. A frame is a call or the reply
 * to a call. The calling daemon chooses the `id` that matches the two.
 */
import {Packr} from 'msgpackr';
import {Failure, reasonOf} from '../errors/failure.js';

/** A request on a link. */
export interface CallFrame {
  readonly type: 'call';
  readonly id: number;
  readonly kind: string;
  readonly body: unknown;
}

/** The reply to a request; `error` is set if the handler failed. */
export interface ReplyFrame {
  readonly type: 'reply';
  readonly id: number;
  readonly body?: unknown;
  readonly error?: string;
}

export type Frame = CallFrame | ReplyFrame;

const packr = new Packr({useRecords: false});

/** Encodes a frame. */
export function encodeFrame(frame: Frame): Buffer {
  return packr.pack(frame);
}

/** Decodes a frame; throws `frameInvalid` if the bytes are not a frame. */
export function decodeFrame(bytes: Buffer, peer: string): Frame {
  const value = unpack(bytes, peer) as Partial<Frame> | undefined;
  const isKnownType = value?.type === 'call' || value?.type === 'reply';
  if (isKnownType && typeof value.id === 'number') return value as Frame;
  throw new Failure('frameInvalid', {peer, reason: 'not a call or a reply'});
}

function unpack(bytes: Buffer, peer: string): unknown {
  try {
    return packr.unpack(bytes);
  } catch (err) {
    throw new Failure('frameInvalid', {peer, reason: reasonOf(err)}, err);
  }
}
