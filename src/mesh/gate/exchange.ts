/**
 * One request to an instance and its whole answer. Each request has a
 * connection of its own: an instance may send surplus bytes after an answer,
 * and on a kept connection they could be taken for the answer of the next.
 *
 * This is Node's own client and not undici, which takes a reset connection as
 * the end of an answer without a length: half an answer would look whole.
 */
import {
  Agent,
  request,
  type ClientRequest,
  type IncomingMessage,
} from 'node:http';
import {connect, type NetConnectOpts, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {reasonOf} from '../../errors/failure.js';
import {parseAddress} from '../../settings/address.js';
import type {HeaderNames} from '../header_names.js';
import type {Outcome, Work} from './work.js';

/** The instance that is to run the work. */
export interface Target {
  readonly instance: string;
  readonly signal: AbortSignal;
}

/** What a probe of the health path told. */
export interface ProbeResult {
  readonly instance: string;
  readonly slots: number | undefined;
}

/** The same VM: longer means that nobody accepts. */
const CONNECT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;

/**
 * Largest body of an answer; half of what a frame between daemons carries, so
 * that a full set of slots fits the memory of a small VM.
 */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;
/** Interim answers (1xx) before the final one; servers send one or two. */
const MAX_INTERIM_ANSWERS = 16;

/** Codes of failures before a connection stood: nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'CONNECT_TIMEOUT',
]);

/** Statuses that promise callers that a request has not run. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

interface RawAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Nobody accepted the connection. */
class ConnectTimeout extends Error {
  readonly code = 'CONNECT_TIMEOUT';
}

/** An answer that doesn't end; what was read of it is dropped. */
class AnswerTooLong extends Error {
  readonly code = 'ANSWER_TOO_LONG';
}

/** The connection ended before the answer did. */
class AnswerCutShort extends Error {
  readonly code = 'ANSWER_CUT_SHORT';
}

/** Connections whose own side stays open after the other side ended. */
class HalfOpenAgent extends Agent {
  override createConnection(options: NetConnectOpts): Socket {
    return connect({...options, allowHalfOpen: true});
  }
}

/** What is sent. */
interface RawRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly signal: AbortSignal;
}

/** Connections to the backend server of this VM. */
export class Exchange {
  readonly #host: string;
  readonly #port: number;
  readonly #names: HeaderNames;
  readonly #agent = new HalfOpenAgent({keepAlive: false});

  constructor(address: string, names: HeaderNames) {
    const {host, port} = parseAddress(address);
    this.#host = host;
    this.#port = port;
    this.#names = names;
  }

  /** Sends the work to the instance and reads the answer to its end. */
  async run(work: Work, target: Target): Promise<Outcome> {
    const {instance, signal} = target;
    try {
      const answer = await this.#request(work, target);
      return this.#judge(answer, work, instance);
    } catch (err) {
      const code = codeOf(err);
      const reason = signal.aborted ? 'cancelled' : reasonOf(err);
      if (NOT_SENT_CODES.has(code)) {
        return {kind: 'not-run', instance, reason: code, hasArrived: false};
      }
      return {kind: 'unknown', instance, reason};
    }
  }

  /** Asks the health path who is there; throws if nobody answers. */
  async probe(healthPath: string): Promise<ProbeResult | undefined> {
    const {status, headers} = await this.#send({
      method: 'GET',
      path: healthPath,
      headers: ['host', `${this.#host}:${this.#port}`],
      body: Buffer.alloc(0),
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    const instance = field(headers, this.#names.instance);
    if (status !== 200 || instance === undefined) return undefined;
    const slots = Number(field(headers, this.#names.load)?.split(',')[2]);
    return {instance, slots: Number.isInteger(slots) ? slots : undefined};
  }

  #request(work: Work, target: Target): Promise<RawAnswer> {
    const {method, path, headers, body, leftMs} = work;
    const {targetInstance, deadline} = this.#names;
    const length =
      body.length > 0 || method !== 'GET'
        ? ['content-length', String(body.length)]
        : [];
    return this.#send({
      method,
      path,
      headers: [
        ...headers,
        targetInstance,
        target.instance,
        deadline,
        String(Math.max(1, Math.floor(leftMs))),
        ...length,
      ],
      body,
      signal: target.signal,
    });
  }

  #send(raw: RawRequest): Promise<RawAnswer> {
    const {method, path, body, signal} = raw;
    return new Promise((resolve, reject) => {
      const req = request({
        host: this.#host,
        port: this.#port,
        method,
        path,
        headers: raw.headers,
        agent: this.#agent,
        setHost: false,
        signal,
      });
      limitConnecting(req);
      limitInterim(req);
      const resets = noticeReset(req);
      let answer: IncomingMessage | undefined;
      req.on('error', err => {
        // Surplus bytes behind a whole answer are no fault of the answer.
        if (!answer?.complete) reject(err);
      });
      req.on('response', res => {
        answer = res;
        readAnswer(res, resets).then(whole => {
          resolve(whole);
          // What may follow the answer belongs to no request.
          req.destroy();
        }, reject);
      });
      req.end(body);
    });
  }

  #judge(answer: RawAnswer, work: Work, instance: string): Outcome {
    const {status, headers} = answer;
    const names = this.#names;
    const isTurnedAway =
      status === 421 || field(headers, names.notExecuted) !== undefined;
    if (isTurnedAway) {
      const reason = `status ${status}`;
      return {kind: 'not-run', instance, reason, hasArrived: true};
    }
    if (field(headers, names.requestId) !== work.requestId) {
      return {kind: 'unknown', instance, reason: 'answer to another request'};
    }
    if (field(headers, names.signature) === undefined) {
      return {kind: 'unknown', instance, reason: 'answer without signature'};
    }
    // Passed on, these would promise the caller that nothing has run.
    if (PROMISES_NOT_RUN.has(status)) {
      return {kind: 'unknown', instance, reason: `status ${status}`};
    }
    return {kind: 'answered', instance, ...answer};
  }
}

/** The value of a header field in a list of names and values. */
export function field(
  headers: readonly string[],
  name: string,
): string | undefined {
  const index = headers.findIndex(
    (text, i) => i % 2 === 0 && text.toLowerCase() === name,
  );
  return index < 0 ? undefined : headers[index + 1];
}

/** Ends a request whose connection isn't accepted in time. */
function limitConnecting(req: ClientRequest): void {
  const timer = setTimeout(
    () => req.destroy(new ConnectTimeout('connection not accepted')),
    CONNECT_TIMEOUT_MS,
  );
  const stop = () => clearTimeout(timer);
  req.on('socket', socket => socket.once('connect', stop));
  req.once('close', stop);
}

/** Ends a request whose server sends interim answers without end. */
function limitInterim(req: ClientRequest): void {
  let count = 0;
  req.on('information', () => {
    count += 1;
    if (count <= MAX_INTERIM_ANSWERS) return;
    req.destroy(new AnswerTooLong('interim answers without end'));
  });
}

/** Tells whether a connection that ended was reset. */
type ResetNotice = () => Promise<boolean>;

/** Longest time until a write shows a reset, in milliseconds. */
const RESET_SHOWS_MS = 1;

/**
 * Node reports the end of a connection when its last bytes and a reset come
 * together. Only a write tells the two apart: it fails after a reset, and
 * goes nowhere after a regular end.
 */
function noticeReset(req: ClientRequest): ResetNotice {
  let isReset = false;
  req.on('socket', socket => {
    socket.prependListener('end', () => {
      if (hasLength(req)) return;
      socket.write('\r\n', err => {
        isReset = err !== undefined && err !== null;
      });
    });
  });
  return async () => {
    await sleep(RESET_SHOWS_MS);
    return isReset;
  };
}

/** Whether there is no answer, or one that tells its own length. */
function hasLength(req: ClientRequest): boolean {
  const {res} = req as ClientRequest & {readonly res?: IncomingMessage | null};
  return !res || isFramed(res);
}

function isFramed({headers}: IncomingMessage): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}

/** Reads an answer to its end; rejects if the connection ends before it. */
async function readAnswer(
  res: IncomingMessage,
  wasReset: ResetNotice,
): Promise<RawAnswer> {
  const answer = await readToEnd(res);
  if (!isFramed(res) && (await wasReset())) {
    throw new AnswerCutShort('connection reset within the answer');
  }
  return answer;
}

function readToEnd(res: IncomingMessage): Promise<RawAnswer> {
  const chunks: Buffer[] = [];
  let size = 0;
  return new Promise((resolve, reject) => {
    res.on('data', (chunk: Buffer) => {
      size += chunk.length;
      chunks.push(chunk);
      if (size <= MAX_ANSWER_BYTES) return;
      chunks.length = 0;
      res.destroy(new AnswerTooLong('body without end'));
    });
    res.on('end', () => {
      if (!res.complete) return reject(new AnswerCutShort('answer cut short'));
      const status = res.statusCode ?? 0;
      const body = Buffer.concat(chunks);
      resolve({status, headers: res.rawHeaders, body});
    });
    res.on('error', reject);
    res.on('close', () => {
      if (res.complete) return;
      reject(new AnswerCutShort('connection closed within the answer'));
    });
  });
}

function codeOf(err: unknown): string {
  if (!(err instanceof Error)) return '';
  return 'code' in err ? String(err.code) : '';
}
