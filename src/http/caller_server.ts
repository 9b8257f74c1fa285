/** The HTTP server for callers, with strict parsing and bounded timeouts. */
import type {IncomingMessage, Server} from 'node:http';
import type {Duplex} from 'node:stream';
import {StrictServer} from './strict_server.js';

/** Timeout for the headers of a caller's request. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Idle connections are closed after this time. */
const KEEP_ALIVE_MS = 4000;
const CHECK_INTERVAL_MS = 1000;

/**
 * Creates the server; the headers of a request may total `maxHeaderBytes`.
 * `onRefused` is called for each request that is refused for faulty fields.
 */
export function createCallerServer(
  maxHeaderBytes: number,
  onRefused?: () => void,
): Server {
  const options = {
    maxHeaderSize: maxHeaderBytes,
    requireHostHeader: true,
    headersTimeout: HEADERS_TIMEOUT_MS,
    // The route's deadline limits how long the body may take.
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  };
  const server = new StrictServer(options, onRefused);
  // With a limit, Node.js would silently drop the headers beyond it.
  server.maxHeadersCount = 0;
  server.on('connect', rejectConnect);
  return server;
}

function rejectConnect(_req: IncomingMessage, socket: Duplex): void {
  socket.on('error', () => socket.destroy());
  socket.end(
    'HTTP/1.1 405 Method Not Allowed\r\n' +
      'Content-Length: 0\r\nConnection: close\r\n\r\n',
  );
}
