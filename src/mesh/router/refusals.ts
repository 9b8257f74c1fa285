/**
 * All refusals of the router. A status that tells callers that the request was
 * not executed is used only where that is certain.
 */
import type {RefusalKind} from '../../http/problem.js';

/** Refusals by their stable name in responses, logs and metrics. */
export const REFUSALS = {
  'not-ready': {status: 503, title: 'No configuration is known', ran: 'no'},
  'no-route': {status: 404, title: 'No route leads there', ran: 'no'},
  'key-missing': {status: 401, title: 'A key is needed here', ran: 'no'},
  'key-unknown': {status: 401, title: 'The key is not valid', ran: 'no'},
  'body-too-large': {status: 413, title: 'The body is too large', ran: 'no'},
  'framing-too-large': {
    status: 413,
    title: 'The chunks of the body are too small',
    ran: 'no',
  },
  'body-stalled': {
    status: 408,
    title: 'The body came too slowly',
    ran: 'no',
  },
  'no-memory': {
    status: 503,
    title: 'Too many bodies are being received',
    ran: 'no',
  },
  displaced: {
    status: 503,
    title: 'The body made no progress while others wait',
    ran: 'no',
  },
  'request-id-missing': {
    status: 400,
    title: 'The request has no id',
    ran: 'no',
  },
  'over-rate': {status: 429, title: 'Over the rate of the customer', ran: 'no'},
  busy: {status: 503, title: 'No instance has a free slot', ran: 'no'},
  'not-answering': {
    status: 503,
    title: 'No instance answers at present',
    ran: 'no',
  },
  'no-instance': {status: 503, title: 'No instance is there', ran: 'no'},
  quarantined: {
    status: 503,
    title: 'Instances that ran this request ended',
    ran: 'no',
  },
  stopping: {status: 503, title: 'This daemon is stopping', ran: 'no'},
  'not-run': {status: 503, title: 'The instances turned it away', ran: 'no'},
  deadline: {status: 503, title: 'No slot came free in time', ran: 'no'},
  timeout: {status: 504, title: 'No answer came in time', ran: 'unknown'},
  'answer-lost': {status: 502, title: 'The answer was lost', ran: 'unknown'},
  internal: {status: 502, title: 'The router failed', ran: 'unknown'},
} as const satisfies Readonly<Record<string, RefusalKind>>;

export type RefusalName = keyof typeof REFUSALS;
