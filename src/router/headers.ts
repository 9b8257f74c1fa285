/**
 * Header fields on their way through: hop-by-hop fields and the caller's key
 * stay here; the request id, the customer and the caller's address are added.
 */
import type {IncomingMessage} from 'node:http';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
]);

/** Fields that only this system may set towards a backend server. */
const RESERVED: ReadonlySet<string> = new Set([
  'x-api-key',
  'x-request-id',
  'x-customer',
  'x-forwarded-for',
]);

const RESERVED_PREFIX = 'x-chicorycourse-';
const BEARER = /^bearer\s+/i;

/** The key that came with a request, if any. */
export function keyOf(req: IncomingMessage): string | undefined {
  const field = req.headers['x-api-key'];
  if (typeof field === 'string' && field !== '') return field;
  const authorization = req.headers.authorization ?? '';
  if (!BEARER.test(authorization)) return undefined;
  return authorization.replace(BEARER, '').trim() || undefined;
}

/** What is added to a forwarded request. */
export interface ForwardedDetail {
  readonly requestId: string;
  readonly customer: string | undefined;
  readonly key: string | undefined;
  /** Time left until the deadline, in milliseconds. */
  readonly leftMs: number;
}

/** Fields for the backend server: names and values in turn. */
export function forwardedHeaders(
  req: IncomingMessage,
  detail: ForwardedDetail,
): readonly string[] {
  const named = namedByConnection(req.headers.connection);
  const kept = req.rawHeaders.filter((_, index) => {
    const start = index - (index % 2);
    const name = (req.rawHeaders[start] ?? '').toLowerCase();
    const value = req.rawHeaders[start + 1] ?? '';
    return !named.has(name) && isForwarded(name, value, detail.key);
  });
  const before = req.headers['x-forwarded-for'];
  const from = req.socket.remoteAddress ?? '';
  return [
    ...kept,
    'x-request-id',
    detail.requestId,
    'x-forwarded-for',
    before === undefined ? from : `${String(before)}, ${from}`,
    'x-deadline-ms',
    String(Math.max(0, Math.round(detail.leftMs))),
    ...(detail.customer === undefined ? [] : ['x-customer', detail.customer]),
  ];
}

/** Fields for the caller, without the hop-by-hop ones. */
export function returnedHeaders(headers: readonly string[]): readonly string[] {
  return headers.filter((_, index) => {
    const name = (headers[index - (index % 2)] ?? '').toLowerCase();
    return !HOP_BY_HOP.has(name) && !name.startsWith(RESERVED_PREFIX);
  });
}

function isForwarded(
  name: string,
  value: string,
  key: string | undefined,
): boolean {
  if (HOP_BY_HOP.has(name) || RESERVED.has(name)) return false;
  if (name.startsWith(RESERVED_PREFIX) || name === 'x-deadline-ms')
    return false;
  if (name === 'authorization' && BEARER.test(value)) return false;
  return key === undefined || !value.includes(key);
}

function namedByConnection(field: string | undefined): ReadonlySet<string> {
  const names = (field ?? '').split(',').map(name => name.trim().toLowerCase());
  return new Set(names);
}
