/** The server that callers connect to: strict on the wire, bounded in time. */
import {createServer, type IncomingMessage, type Server} from 'node:http';
import type {Duplex} from 'node:stream';

/** A caller's header fields must have come by then. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Idle connections are closed after this time. */
const KEEP_ALIVE_MS = 4000;
const CHECK_INTERVAL_MS = 1000;

/** Makes the server; header fields of a request may have `maxHeaderBytes`. */
export function createCallersServer(maxHeaderBytes: number): Server {
  const server = createServer({
    maxHeaderSize: maxHeaderBytes,
    requireHostHeader: true,
    headersTimeout: HEADERS_TIMEOUT_MS,
    // The deadline of the route bounds the body.
    requestTimeout: 0,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  });
  // Above a limit fields would be dropped without a word.
  server.maxHeadersCount = 0;
  server.on('connect', refuseConnect);
  return server;
}

function refuseConnect(_req: IncomingMessage, socket: Duplex): void {
  socket.on('error', () => socket.destroy());
  socket.end(
    'HTTP/1.1 405 Method Not Allowed\r\n' +
      'Content-Length: 0\r\nConnection: close\r\n\r\n',
  );
}
