/**
 * Streams an answer's body to a caller with back-pressure. Node.js's own
 * `pipeline` makes and aborts an AbortController for each call, with an
 * exception and its stack; on the hot path that costs more than the copy.
 */
import type {ServerResponse} from 'node:http';
import type {Readable} from 'node:stream';

/** Sends all of `body`; a body that breaks off cuts the connection. */
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
