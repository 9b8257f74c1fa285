/**
 * Parses the host and path of a request, and refuses ambiguous ones. A path
 * that a backend server might interpret differently from the router could
 * escape the path prefix of its route.
 */
import type {IncomingMessage} from 'node:http';

/** Host and path of a request. */
export interface RequestTarget {
  /** Lower case, without a port. */
  readonly host: string;
  readonly path: string;
}

const HOST_PATTERN = /^([a-z0-9._-]+|\[[0-9a-f:.]+\])(:\d{1,5})?$/i;
/** Visible ASCII characters except `"<>\^`{|}#`. */
const TARGET_PATTERN = /^\/[!$-;=?-Z\]a-z_~[%]*$/;
const BAD_ESCAPE = /%(?![0-9a-f]{2})/i;
/** Escaped slash, backslash, control characters, and unreserved characters. */
const AMBIGUOUS_ESCAPE =
  /%(2f|5c|7f|[01][0-9a-f]|2d|2e|5f|7e|3[0-9]|4[1-9a-f]|5[0-9a]|6[1-9a-f]|7[0-9a])/i;
/** A dot segment, also with path parameters (`..;x`). */
const DOT_SEGMENT = /(^|\/)\.{1,2}(;[^/]*)?(?=\/|$)/;

/** The target of a request; undefined if it is ambiguous or malformed. */
export function parseTarget(req: IncomingMessage): RequestTarget | undefined {
  const host = parseHost(req);
  const url = req.url ?? '';
  const path = url.split('?')[0] ?? '';
  if (host === undefined || !TARGET_PATTERN.test(url) || !isUnambiguous(path)) {
    return undefined;
  }
  return {host, path};
}

/** False if the request uses framing or a protocol that is not supported. */
export function isSupported(req: IncomingMessage): boolean {
  const encoding = req.headers['transfer-encoding'];
  const isChunked = encoding?.toLowerCase() === 'chunked';
  if (encoding !== undefined && !isChunked) return false;
  if (isChunked && req.headers['content-length'] !== undefined) return false;
  if (isChunked && req.httpVersion !== '1.1') return false;
  // A client that offers an upgrade to HTTP/2 continues with HTTP/1.1 if the
  // offer is ignored.
  const upgrade = req.headers.upgrade?.toLowerCase() ?? 'h2c';
  return upgrade === 'h2c';
}

function isUnambiguous(path: string): boolean {
  if (path.includes('//') || BAD_ESCAPE.test(path)) return false;
  return !AMBIGUOUS_ESCAPE.test(path) && !DOT_SEGMENT.test(path);
}

function parseHost(req: IncomingMessage): string | undefined {
  const hosts = req.rawHeaders.filter((name, index) => {
    return index % 2 === 0 && name.toLowerCase() === 'host';
  });
  const host = req.headers.host ?? '';
  if (hosts.length !== 1 || !HOST_PATTERN.test(host)) return undefined;
  return host.replace(/:\d+$/, '').toLowerCase();
}
