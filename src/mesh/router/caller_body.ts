/** Reads a caller's whole body, within a limit. */
import type {IncomingMessage} from 'node:http';

/** What became of the body. */
export type BodyResult =
  | {readonly kind: 'whole'; readonly bytes: Buffer}
  | {readonly kind: 'too-large'}
  | {readonly kind: 'broken'};

/** Resolves when the body has ended, is too large, or was cut short. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of req as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return {kind: 'too-large'};
      chunks.push(chunk);
    }
  } catch {
    // The caller broke off; there is nobody to tell.
    return {kind: 'broken'};
  }
  return {kind: 'whole', bytes: Buffer.concat(chunks)};
}
