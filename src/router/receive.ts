/**
 * Takes the body of a caller's request: all of a small one, the start of a
 * large one. It happens before a rate token is drawn or a slot taken, so that
 * a slow caller holds neither.
 */
import type {IncomingMessage} from 'node:http';
import {readBody, type RequestBody} from '../gate/body.js';
import type {RefusalName} from './refusals.js';

/** The body, or why the request can't be served. */
export type Received =
  {readonly body: RequestBody | undefined} | {readonly failure: RefusalName};

/** Waits for the body until the deadline; monotonic clock, milliseconds. */
export async function receiveBody(
  req: IncomingMessage,
  deadlineAtMs: number,
): Promise<Received> {
  if (!hasBody(req)) return {body: undefined};
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<Received>(resolve => {
    const leftMs = Math.max(1, deadlineAtMs - performance.now());
    timer = setTimeout(() => resolve({failure: 'body-late'}), leftMs);
  });
  const taken = readBody(req).then(
    (body): Received => ({body}),
    (): Received => ({failure: 'body-broken'}),
  );
  const received = await Promise.race([taken, late]);
  clearTimeout(timer);
  return received;
}

function hasBody(req: IncomingMessage): boolean {
  const length = req.headers['content-length'];
  if (req.headers['transfer-encoding'] !== undefined) return true;
  return length !== undefined && length !== '0';
}
