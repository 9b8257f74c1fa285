/**
 * Streams a response body to a caller with backpressure. `pipeline` of Node.js
 * creates and aborts an AbortController per call, which raises an exception
 * with a stack trace; on the hot path that costs more than the copy.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';

/** Sends all of `body`; if it ends early, the connection is closed. */
export function sendBody(body: Readable, res: ServerResponse): Promise<void> {
  return new Promise(resolve => {
    body.on('error', () => res.destroy());
    body.on('close', () => {
      if (!body.readableEnded) res.destroy();
    });
    res.on('close', () => {
      body.destroy();
      resolve();
    });
    if (res.destroyed) {
      body.destroy();
      return resolve();
    }
    body.pipe(res);
  });
}
