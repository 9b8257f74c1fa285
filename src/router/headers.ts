/**
 * Header fields of forwarded requests and returned answers. Hop-by-hop fields
 * and the caller's API key are removed; the request id, the customer and the
 * caller's address are added.
 */
import type {IncomingMessage} from 'node:http';
import {HOP_BY_HOP_HEADERS} from '../http/hop_by_hop.js';
import {createTraceHeaders} from './trace.js';

/** Fields that backend servers get from the router only, never from callers. */
const RESERVED: ReadonlySet<string> = new Set([
  'x-api-key',
  'x-request-id',
  'x-customer',
  'x-forwarded-for',
  'traceparent',
  'tracestate',
]);

const RESERVED_PREFIX = 'x-chicorycourse-';
/** Shorter texts aren't valid keys and may occur in any field by chance. */
const MIN_KEY_LENGTH = 8;
const BEARER = /^bearer\s+/i;

/** Reads the API key of a request, if there is one. */
export function readApiKey(req: IncomingMessage): string | undefined {
  const apiKey = req.headers['x-api-key'];
  if (typeof apiKey === 'string' && apiKey !== '') return apiKey;
  const authorization = req.headers.authorization ?? '';
  if (!BEARER.test(authorization)) return undefined;
  return authorization.replace(BEARER, '').trim() || undefined;
}

/** True if a text contains the key as it is or percent-encoded. */
export function containsKey(text: string, key: string | undefined): boolean {
  if (key === undefined || key.length < MIN_KEY_LENGTH) return false;
  return text.includes(key) || decodePercent(text).includes(key);
}

function decodePercent(text: string): string {
  return text.replace(/%([0-9a-f]{2})/gi, (_, code: string) =>
    String.fromCharCode(parseInt(code, 16)),
  );
}

/** Details for the header fields of a forwarded request. */
export interface ForwardedDetails {
  readonly requestId: string;
  readonly customer: string | undefined;
  readonly key: string | undefined;
  /** Time left until the deadline, in milliseconds. */
  readonly leftMs: number;
}

/** Fields for the backend server: names and values alternate. */
export function createForwardedHeaders(
  req: IncomingMessage,
  detail: ForwardedDetails,
): readonly string[] {
  const named = parseConnectionField(req.headers.connection);
  const kept = req.rawHeaders.filter((_, index) => {
    const start = index - (index % 2);
    const name = (req.rawHeaders[start] ?? '').toLowerCase();
    const value = req.rawHeaders[start + 1] ?? '';
    return !named.has(name) && mayForward(name, value, detail.key);
  });
  const before = req.headers['x-forwarded-for'];
  const from = req.socket.remoteAddress ?? '';
  return [
    ...kept,
    'x-request-id',
    detail.requestId,
    'x-forwarded-for',
    before === undefined ? from : `${String(before)}, ${from}`,
    ...createTraceHeaders(req),
    'x-deadline-ms',
    String(Math.max(0, Math.round(detail.leftMs))),
    ...(detail.customer === undefined ? [] : ['x-customer', detail.customer]),
  ];
}

/** Fields for the caller, without hop-by-hop and internal ones. */
export function filterReturnedHeaders(
  headers: readonly string[],
): readonly string[] {
  const connection = headers.findIndex((name, index) => {
    return index % 2 === 0 && name.toLowerCase() === 'connection';
  });
  const field = connection < 0 ? undefined : headers[connection + 1];
  const named = parseConnectionField(field);
  return headers.filter((_, index) => {
    const name = (headers[index - (index % 2)] ?? '').toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(name) || named.has(name)) return false;
    return !name.startsWith(RESERVED_PREFIX);
  });
}

function mayForward(
  name: string,
  value: string,
  key: string | undefined,
): boolean {
  if (HOP_BY_HOP_HEADERS.has(name) || RESERVED.has(name)) return false;
  if (name.startsWith(RESERVED_PREFIX) || name === 'x-deadline-ms')
    return false;
  if (name === 'authorization' && BEARER.test(value)) return false;
  return !containsKey(name, key) && !containsKey(value, key);
}

function parseConnectionField(field: string | undefined): ReadonlySet<string> {
  const names = (field ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}
