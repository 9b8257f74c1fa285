/** Reads a whole request body, up to a size limit. */
import type {IncomingMessage} from 'node:http';

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
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) return {kind: 'too-large'};
      chunks.push(chunk);
    }
  } catch {
    // The connection is closed: no error response can reach the caller.
    return {kind: 'broken'};
  }
  return {kind: 'whole', bytes: Buffer.concat(chunks)};
}
