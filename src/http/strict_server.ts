/**
 * An HTTP server that refuses requests with faulty header fields before any
 * handler gets them, whatever the parser of the Node.js release accepts. The
 * connection is closed, since where the request ends is in doubt. An idle
 * connection is closed only if no request has arrived on it.
 */
import {
  Server,
  type IncomingMessage,
  type ServerOptions,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {findFieldFault, type FieldFault} from './field_syntax.js';
import {
  findRefusedField,
  isFieldError,
  type ParserError,
} from './parser_fault.js';
import {renderProblem, sendProblem, type RefusalKind} from './problem.js';

/** The refusal of a request that can be understood in more than one way. */
export const BAD_REQUEST: RefusalKind = {
  status: 400,
  title: 'The request is malformed',
  ran: 'no',
};

/**
 * How long a connection stays open after a refusal by the parser: closing it
 * while bytes are unread would reset it, and the caller could lose the response.
 */
const LINGER_MS = 500;

type Refuse = (connection: unknown, fault: FieldFault) => void;

const refuseRequest: Refuse = (connection, fault) => {
  const res = connection as ServerResponse;
  res.setHeader('connection', 'close');
  sendProblem(res, 'bad-request', BAD_REQUEST, describe(fault));
};

const refuseUpgrade: Refuse = connection => {
  const socket = connection as Duplex;
  if (socket.destroyed) return;
  socket.on('error', () => socket.destroy());
  socket.end(
    'HTTP/1.1 400 Bad Request\r\n' +
      'Content-Length: 0\r\nConnection: close\r\n\r\n',
  );
};

/** How each event that hands over a request is refused. */
const REFUSE_BY_EVENT: ReadonlyMap<string | symbol, Refuse> = new Map([
  ['request', refuseRequest],
  ['checkContinue', refuseRequest],
  ['checkExpectation', refuseRequest],
  ['upgrade', refuseUpgrade],
]);

/** A server whose handlers only get requests with valid header fields. */
export class StrictServer extends Server {
  readonly #onRefused: (() => void) | undefined;
  /** The unfinished responses on each connection, in order of their requests. */
  readonly #responses = new WeakMap<Duplex, readonly ServerResponse[]>();
  /** Connections whose parser has refused a field. */
  readonly #refusedConnections = new WeakSet<Duplex>();

  /** `onRefused` is called for each refused request. */
  constructor(options: ServerOptions = {}, onRefused?: () => void) {
    super(options);
    this.#onRefused = onRefused;
    // Without a listener, Node.js asks for the body before any check.
    this.on('checkContinue', (req, res) => {
      res.writeContinue();
      this.emit('request', req, res);
    });
    this.on('timeout', closeUnlessReceiving);
  }

  override emit(event: string | symbol, ...args: unknown[]): boolean {
    if (event === 'clientError') {
      const [err, connection] = args as [Error & ParserError, Duplex];
      const isRefused = this.#refuseParserError(err, connection);
      return isRefused || super.emit(event, err, connection);
    }
    const refuse = REFUSE_BY_EVENT.get(event);
    if (!refuse) return super.emit(event as string, ...(args as []));
    const [req, connection] = args as [IncomingMessage, unknown];
    if (event !== 'upgrade') this.#addResponse(connection as ServerResponse);
    const fault = findFieldFault(req.rawHeaders);
    if (!fault) return super.emit(event as string, ...(args as []));
    if (event === 'upgrade') this.#closeIfAwaited(connection as Duplex);
    refuse(connection, fault);
    this.#onRefused?.();
    return true;
  }

  /** False if the error is left to the default of Node.js. */
  #refuseParserError(err: ParserError, connection: Duplex): boolean {
    // The parser reports an error again for all bytes that follow.
    if (this.#refusedConnections.has(connection)) return true;
    if (this.#closeIfAwaited(connection)) return true;
    if (!isFieldError(err)) return false;
    // The faulty field is in the trailer of the request in progress.
    if (this.#unfinishedResponses(connection).length > 0) return false;
    this.#refusedConnections.add(connection);
    sendFieldRefusal(connection, findRefusedField(err));
    this.#onRefused?.();
    return true;
  }

  /**
   * Closes a connection on which a complete request waits for its response,
   * which may have run. A refusal of what follows it (a malformed, oversized or
   * late head) would be taken for that response. Returns whether it closed.
   */
  #closeIfAwaited(connection: Duplex): boolean {
    const unfinished = this.#unfinishedResponses(connection);
    const isAwaited = unfinished.some(({req}) => req.complete);
    if (isAwaited) connection.destroy();
    return isAwaited;
  }

  #addResponse(res: ServerResponse): void {
    const {socket} = res.req;
    const others = this.#unfinishedResponses(socket).filter(r => r !== res);
    this.#responses.set(socket, [...others, res]);
  }

  #unfinishedResponses(connection: Duplex): readonly ServerResponse[] {
    const responses = this.#responses.get(connection) ?? [];
    return responses.filter(({writableFinished}) => !writableFinished);
  }
}

/** Refuses a request that the parser didn't pass on. */
function sendFieldRefusal(socket: Duplex, fault: FieldFault | undefined): void {
  const members = fault
    ? describe(fault)
    : {detail: 'invalid header field in the request'};
  const body = renderProblem('bad-request', BAD_REQUEST, members);
  const lingerTimer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.on('error', () => socket.destroy());
  socket.on('close', () => clearTimeout(lingerTimer));
  socket.resume();
  socket.end(
    'HTTP/1.1 400 Bad Request\r\nContent-Type: application/problem+json\r\n' +
      `Content-Length: ${Buffer.byteLength(body)}\r\n` +
      `Connection: close\r\n\r\n${body}`,
  );
}

/**
 * Closes a connection that was idle for too long. The event loop runs due
 * timers before it reads from sockets, so a request may have arrived.
 */
function closeUnlessReceiving(socket: Socket): void {
  const {bytesRead} = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

function describe({field, part}: FieldFault) {
  return {field, detail: `invalid ${part} of the header field ${field}`};
}
