/**
 * Receives the body of a caller's request: all of a small one, the start of a
 * large one. This happens before a rate token or a slot is taken, so that a
 * slow caller occupies neither.
 */
import type {IncomingMessage} from 'node:http';
import {readBody, type RequestBody} from '../gate/body.js';
import type {RefusalName} from './refusals.js';

/** The body, or the refusal if it could not be received. */
export type ReceivedBody =
  {readonly body: RequestBody | undefined} | {readonly failure: RefusalName};

/** Waits for the body until the deadline; monotonic clock, milliseconds. */
export async function receiveBody(
  req: IncomingMessage,
  deadlineAtMs: number,
): Promise<ReceivedBody> {
  if (!hasBody(req)) return {body: undefined};
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<ReceivedBody>(resolve => {
    const leftMs = Math.max(1, deadlineAtMs - performance.now());
    timer = setTimeout(() => resolve({failure: 'body-late'}), leftMs);
  });
  const taken = readBody(req).then(
    (body): ReceivedBody => ({body}),
    (): ReceivedBody => ({failure: 'body-broken'}),
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
