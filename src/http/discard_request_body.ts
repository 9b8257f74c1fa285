/**
 * Reads and discards the rest of a request body after its response was sent.
 * Node.js does so by itself only if nothing has read from the body; otherwise
 * the next request on the connection would wait behind bytes that nobody reads.
 */
import type {IncomingMessage} from 'node:http';

/** Discards the rest of the body, so that the connection can be reused. */
export function discardRequestBody(req: IncomingMessage): void {
  if (req.complete && req.readableEnded) return;
  // An iteration that ended early leaves a listener that keeps the body paused.
  req.removeAllListeners('readable');
  setImmediate(() => req.resume());
}
