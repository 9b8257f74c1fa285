/** Reads a whole request body, up to a size limit. */
import type {IncomingMessage} from 'node:http';
import {BodyBuffer} from '../../http/body_buffer.js';

/** The body, or why there is none. */
export type BodyResult =
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken'};

/** Resolves when the body is complete, is too large, or was cut short. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const received = new BodyBuffer();
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      received.append(chunk);
      if (received.sizeBytes > maxBytes) return {kind: 'too-large'};
    }
  } catch {
    // The connection is closed: no error response can reach the caller.
    return {kind: 'broken'};
  }
  return {kind: 'whole', bytes: received.toBuffer()};
}
