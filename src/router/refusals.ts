/**
 * All refusals that a caller can get, sent as problem documents (RFC 9457).
 * `ran` states whether the request ran: `no` is certain, `unknown` means that
 * it may have run.
 */
import type {ServerResponse} from 'node:http';
import {sendProblem, type RefusalKind} from '../http/problem.js';
import {BAD_REQUEST} from '../http/strict_server.js';
import type {FirstRequestState} from '../idempotency/messages.js';

/** By name; the name is the last part of the problem's type and is stable. */
export const REFUSALS = {
  'bad-request': BAD_REQUEST,
  'key-missing': {status: 401, title: 'A key is needed here', ran: 'no'},
  'key-unknown': {status: 401, title: 'The key is not valid', ran: 'no'},
  'keys-stale': {
    status: 503,
    title: 'It cannot be known now whether the key is still valid',
    ran: 'no',
  },
  'not-allowed': {status: 403, title: 'No route for this customer', ran: 'no'},
  'no-route': {status: 404, title: 'No route leads there', ran: 'no'},
  'over-rate': {status: 429, title: 'Over the rate of the customer', ran: 'no'},
  'rate-unknown': {
    status: 503,
    title: 'The rate of the customer cannot be known now',
    ran: 'no',
  },
  'no-instance': {status: 503, title: 'No backend server is there', ran: 'no'},
  busy: {status: 503, title: 'All backend servers are busy', ran: 'no'},
  'body-late': {
    status: 408,
    title: 'The body did not come before the deadline',
    ran: 'no',
  },
  'body-broken': {status: 400, title: 'The body was cut short', ran: 'no'},
  'key-reused': {
    status: 409,
    title: 'A request with this idempotency key came before',
    ran: 'no',
  },
  'key-unsure': {
    status: 503,
    title: 'Whether this idempotency key came before cannot be known now',
    ran: 'no',
  },
  deadline: {status: 504, title: 'The deadline passed in the queue', ran: 'no'},
  stopping: {status: 503, title: 'This daemon is stopping', ran: 'no'},
  'not-ready': {status: 503, title: 'No configuration is known', ran: 'no'},
  timeout: {status: 504, title: 'No answer came in time', ran: 'unknown'},
  'connection-lost': {
    status: 502,
    title: 'The connection was lost before the answer',
    ran: 'unknown',
  },
  internal: {status: 500, title: 'The router failed', ran: 'unknown'},
} as const satisfies Readonly<Record<string, RefusalKind>>;

/** The stable name of a refusal. */
export type RefusalName = keyof typeof REFUSALS;

/** Details of one refusal. */
export interface RefusalDetail {
  readonly requestId?: string;
  readonly detail?: string;
  /** What is known of the first request with the same idempotency key. */
  readonly first?: FirstRequestState;
  /** When a retry may succeed, in milliseconds from now. */
  readonly retryAfterMs?: number;
}

/** Answers with a refusal. */
export function refuse(
  res: ServerResponse,
  name: RefusalName,
  detail: RefusalDetail = {},
): void {
  const kind = REFUSALS[name];
  if (detail.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(detail.retryAfterMs / 1000));
    res.setHeader('retry-after', String(seconds));
  }
  if (kind.status === 401) res.setHeader('www-authenticate', 'Bearer');
  sendProblem(res, name, kind, {...detail});
}
