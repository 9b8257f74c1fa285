/** Creates the work that is sent to a gate from a caller's request. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Customer, Route} from '../configuration/records.js';
import type {RequestBody} from '../gate/body.js';
import type {Work} from '../gate/work.js';
import type {RateToken} from '../rates/limiter.js';
import {createForwardedHeaders} from './headers.js';

/** What the router determined about a request. */
export interface WorkDetails {
  readonly body: RequestBody | undefined;
  readonly requestId: string;
  readonly route: Route;
  readonly customer: Customer | undefined;
  readonly key: string | undefined;
  readonly deadlineAtMs: number;
  readonly token: RateToken | undefined;
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);

/**
 * Creates the work; its signal aborts when the caller disconnects, and with
 * `stopSignal`.
 */
export function createWork(
  req: IncomingMessage,
  res: ServerResponse,
  detail: WorkDetails,
  stopSignal: AbortSignal,
): Work {
  const {requestId, route, customer, key, deadlineAtMs, token, body} = detail;
  const cancellation = new AbortController();
  const cancel = () => cancellation.abort();
  stopSignal.addEventListener('abort', cancel, {once: true});
  res.on('close', () => {
    stopSignal.removeEventListener('abort', cancel);
    if (!res.writableFinished) cancel();
  });
  if (res.destroyed || stopSignal.aborted) cancel();
  const method = req.method ?? 'GET';
  const leftMs = deadlineAtMs - performance.now();
  return {
    requestId,
    service: route.service,
    method,
    path: req.url ?? '/',
    headers: createForwardedHeaders(req, {
      requestId,
      customer: customer?.id,
      key,
      leftMs,
    }),
    body,
    customer: customer?.id,
    idempotent: isIdempotent(route, method),
    deadlineAtMs,
    token,
    signal: cancellation.signal,
  };
}

/** True if a request on a route may safely run twice. */
export function isIdempotent(route: Route, method: string): boolean {
  if (route.idempotent === 'by-method') return IDEMPOTENT_METHODS.has(method);
  return route.idempotent === 'yes';
}
