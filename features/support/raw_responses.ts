/**
 * Behaviours of backend servers that write their responses as bytes: invalid
 * status lines, interim responses, and responses that come before the request's
 * body was read.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';

type Behaviour = (req: IncomingMessage, res: ServerResponse) => void;

/** Time for the daemon to read what was sent before. */
const READ_MS = 20;
/** Time until a backend server goes on reading an upload. */
const READ_LATER_MS = 300;

/** Head of a response that would be valid with the status 200. */
function headOf(res: ServerResponse, status: string, fields = ''): string {
  const id = String(res.getHeader(NAMES.requestId));
  return (
    `HTTP/1.1 ${status} Text\r\n${NAMES.requestId}: ${id}\r\n` +
    `${NAMES.signature}: signed\r\n${fields}\r\n`
  );
}

function wholeResponse(res: ServerResponse): string {
  return `${headOf(res, '200', 'content-length: 4\r\n')}done`;
}

function respondsWith(status: string): Behaviour {
  return ({socket}, res) =>
    socket.end(headOf(res, status, 'content-length: 4\r\n') + 'done');
}

function respondsAfter(interim: string): Behaviour {
  return ({socket}, res) => socket.write(interim + wholeResponse(res));
}

/** Sends part of a response without a length, then ends as given. */
function breaksOff(end: (socket: Socket) => void): Behaviour {
  return ({socket}, res) => {
    socket.on('error', () => undefined);
    socket.write(headOf(res, '200') + 'half', () => end(socket));
  };
}

const SWITCHING =
  'HTTP/1.1 101 Switching Protocols\r\n' +
  'connection: upgrade\r\nupgrade: websocket\r\n\r\n';

export const RAW_BEHAVIOURS = {
  'responds with the status 000': respondsWith('000'),
  'responds with the status 099': respondsWith('099'),
  'responds with the status 600': respondsWith('600'),
  'responds with the status 999': respondsWith('999'),
  'responds with the status 1000': respondsWith('1000'),
  'responds with the status "2 0"': respondsWith('2 0'),
  'responds with the status 20': respondsWith('20'),
  'responds after a 100': respondsAfter('HTTP/1.1 100 Continue\r\n\r\n'),
  'responds after a 103': respondsAfter(
    'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n',
  ),
  'sends only a 100': ({socket}) =>
    socket.write('HTTP/1.1 100 Continue\r\n\r\n'),
  'sends a 101 and closes': ({socket}) => socket.end(SWITCHING),
  'sends a 101 and stays open': ({socket}) => socket.write(SWITCHING),
  'responds after a 101': respondsAfter(SWITCHING),
  'sends a signed 101 without an upgrade': ({socket}, res) =>
    socket.write(headOf(res, '101')),
  'resets the connection within its response': breaksOff(socket =>
    setTimeout(() => socket.resetAndDestroy(), READ_MS),
  ),
  // While this process is busy, data and reset reach the daemon together.
  'resets the connection together with its response': breaksOff(socket => {
    socket.resetAndDestroy();
    const untilMs = performance.now() + READ_MS;
    while (performance.now() < untilMs);
  }),
  'closes the connection without reading on': breaksOff(socket =>
    socket.destroy(),
  ),
  'half-closes the connection and resets it': breaksOff(socket => {
    socket.end();
    setTimeout(() => socket.resetAndDestroy(), READ_MS);
  }),
  'half-closes the connection and resets it later': breaksOff(socket => {
    socket.end();
    setTimeout(() => socket.resetAndDestroy(), 5 * READ_MS);
  }),
  'half-closes the connection and reads on': (req, res) => {
    req.socket.end(headOf(res, '200') + 'whole');
    setTimeout(() => req.resume(), READ_MS);
  },
  'half-closes the connection and reads no more': ({socket}, res) =>
    socket.end(headOf(res, '200') + 'whole'),
  'responds at once and reads on later': (req, res) => {
    req.socket.write(wholeResponse(res));
    setTimeout(() => req.resume(), READ_LATER_MS);
  },
} as const satisfies Readonly<Record<string, Behaviour>>;
