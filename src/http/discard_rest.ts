/**
 * Reads on what is left of a request's body after its answer was sent. Node.js
 * does so by itself only if nobody has read from the body; otherwise the next
 * request on the connection would wait behind bytes that are never read.
 */
import type {IncomingMessage} from 'node:http';

/** Discards the rest, so that the connection can be used again. */
export function discardRest(req: IncomingMessage): void {
  if (req.complete && req.readableEnded) return;
  // Whoever iterated over the body has stopped; its listeners would hold it.
  req.removeAllListeners('readable');
  setImmediate(() => req.resume());
}
