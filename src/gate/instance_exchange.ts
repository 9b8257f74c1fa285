/**
 * One HTTP exchange with an instance, on a connection of its own. Like the
 * exchange with another gate, it reports with certainty whether any byte of
 * the request may have been sent.
 */
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import {pipeline, Readable} from 'node:stream';
import {reasonOf} from '../errors/failure.js';
import {findFieldFault} from '../http/field_syntax.js';
import {
  isFramed,
  limitConnectTime,
  limitInterimResponses,
  SINGLE_USE_AGENT,
  TruncationError,
  watchForReset,
  type ResetCheck,
} from '../http/single_use_connection.js';
import {parseAddress} from '../settings/address.js';
import type {RequestBody} from './body.js';
import {
  ExchangeError,
  PROCESSING,
  type ExchangeRequest,
  type ExchangeResponse,
} from './exchange.js';

const CONNECT_TIMEOUT_MS = 500;

/** Methods whose requests have no body unless their headers announce one. */
const METHODS_WITHOUT_BODY: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
]);

/** Sends one request; throws `ExchangeError` if no response arrives. */
export function exchangeWithInstance(
  address: string,
  request: ExchangeRequest,
): Promise<ExchangeResponse> {
  return new Promise((resolve, reject) => {
    new InstanceExchange(request, resolve, reject).start(address);
  });
}

class InstanceExchange {
  readonly #request: ExchangeRequest;
  readonly #resolve: (response: ExchangeResponse) => void;
  readonly #reject: (err: ExchangeError) => void;
  #hasStarted = false;
  #hasTimedOut = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(
    request: ExchangeRequest,
    resolve: (response: ExchangeResponse) => void,
    reject: (err: ExchangeError) => void,
  ) {
    this.#request = request;
    this.#resolve = resolve;
    this.#reject = reject;
  }

  start(address: string): void {
    const {method, path, headers, body, signal} = this.#request;
    if (signal.aborted) return this.#fail(new Error('cancelled'));
    const {host, port} = parseAddress(address);
    const req = request({
      host,
      port,
      method,
      path,
      headers: [...headers, ...framingHeaders(method, headers, body)],
      agent: SINGLE_USE_AGENT,
      setHost: false,
    });
    this.#timer = setTimeout(() => {
      this.#hasTimedOut = true;
      req.destroy(new Error('response headers timed out'));
    }, this.#request.headersTimeoutMs);
    const onAbort = () => req.destroy(new Error('cancelled'));
    signal.addEventListener('abort', onAbort, {once: true});
    req.once('close', () => {
      clearTimeout(this.#timer);
      signal.removeEventListener('abort', onAbort);
    });
    limitConnectTime(req, CONNECT_TIMEOUT_MS);
    limitInterimResponses(req);
    const wasReset = watchForReset(req);
    // Nothing is sent before the first write.
    req.once('socket', socket => {
      socket.once('connect', () => this.#send(req));
    });
    req.on('information', ({statusCode}) => {
      if (statusCode === PROCESSING) this.#request.onProcessing?.();
    });
    req.on('error', err => this.#fail(err));
    req.on('response', res => this.#receive(req, res, wasReset));
  }

  #send(req: ClientRequest): void {
    const {signal, mayStart, body} = this.#request;
    if (this.#hasTimedOut || signal.aborted || !mayStart()) {
      req.destroy(new Error('request is not allowed to start'));
      return;
    }
    this.#hasStarted = true;
    const content = body?.open();
    if (content === undefined || Buffer.isBuffer(content)) {
      req.end(content);
      return;
    }
    pipeline(Readable.from(content, {objectMode: false}), req, err => {
      if (err) req.destroy(err);
    });
  }

  #receive(
    req: ClientRequest,
    res: IncomingMessage,
    wasReset: ResetCheck,
  ): void {
    clearTimeout(this.#timer);
    const {statusCode = 0, rawHeaders} = res;
    const fault = findFieldFault(rawHeaders);
    if (fault) {
      req.destroy(new Error(`invalid response field ${fault.field}`));
      return;
    }
    const body = streamResponseBody(req, res, wasReset);
    this.#resolve({status: statusCode, headers: rawHeaders, body});
  }

  #fail(err: Error): void {
    clearTimeout(this.#timer);
    this.#reject(
      new ExchangeError(
        this.#hasStarted,
        this.#hasTimedOut,
        reasonOf(err),
        err,
      ),
    );
  }
}

/** Header fields that state the length of the request's body. */
function framingHeaders(
  method: string,
  headers: readonly string[],
  body: RequestBody | undefined,
): readonly string[] {
  const hasLength = headers.some(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length',
  );
  if (hasLength) return [];
  if (body) return ['transfer-encoding', 'chunked'];
  return METHODS_WITHOUT_BODY.has(method) ? [] : ['content-length', '0'];
}

/**
 * Streams a response body with backpressure. It ends only if the response is
 * complete, and the connection with it: bytes after the response belong to no
 * request.
 */
function streamResponseBody(
  req: ClientRequest,
  res: IncomingMessage,
  wasReset: ResetCheck,
): Readable {
  const body = new Readable({
    read: () => res.resume(),
    destroy: (err, callback) => {
      req.destroy();
      callback(err);
    },
  });
  const truncate = () =>
    body.destroy(new TruncationError('connection lost within the response'));
  res.on('data', (chunk: Buffer) => {
    if (!body.push(chunk)) res.pause();
  });
  res.on('end', () => {
    if (!res.complete) return truncate();
    if (isFramed(res)) return void body.push(null);
    void wasReset().then(isReset => (isReset ? truncate() : body.push(null)));
  });
  res.on('error', truncate);
  // After a reset, Node.js reports the end of the response only after this.
  req.on('error', () => {
    if (!res.complete) truncate();
  });
  res.on('close', () => {
    if (!res.complete) truncate();
  });
  return body;
}
