/**
 * One request to an instance and its whole answer. Each request has a
 * connection of its own: an instance may send surplus bytes after an answer,
 * and on a kept connection they could be taken for the answer of the next.
 */
import {Pool} from 'undici';
import {reasonOf} from '../../errors/failure.js';
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

/** Loopback or the same VM: longer means that nobody accepts. */
const CONNECT_TIMEOUT_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** Far above any instance's slots. */
const MAX_CONNECTIONS = 256;

/** Codes of failures before a connection stood: nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Statuses that promise callers that a request has not run. */
const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503]);

interface RawAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** Connections to the backend server of this VM. */
export class Exchange {
  readonly #pool: Pool;
  readonly #names: HeaderNames;

  constructor(address: string, names: HeaderNames) {
    this.#names = names;
    this.#pool = new Pool(`http://${address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
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
    const {statusCode, headers, body} = await this.#pool.request({
      method: 'GET',
      path: healthPath,
      reset: true,
      signal: AbortSignal.timeout(PROBE_TIMEOUT_MS),
    });
    await body.dump();
    const instance = headers[this.#names.instance];
    if (statusCode !== 200 || typeof instance !== 'string') return undefined;
    const slots = Number(String(headers[this.#names.load]).split(',')[2]);
    return {instance, slots: Number.isInteger(slots) ? slots : undefined};
  }

  async stop(): Promise<void> {
    await this.#pool.destroy();
  }

  async #request(work: Work, target: Target): Promise<RawAnswer> {
    const {statusCode, headers, body} = await this.#pool.request({
      method: work.method as 'GET',
      path: work.path,
      headers: [
        ...work.headers,
        this.#names.targetInstance,
        target.instance,
        this.#names.deadline,
        String(Math.max(1, Math.floor(work.leftMs))),
      ],
      body: work.body.length > 0 ? work.body : null,
      signal: target.signal,
      reset: true,
      responseHeaders: 'raw',
    });
    const bytes = Buffer.from(await body.arrayBuffer());
    const raw = headers as unknown as readonly (string | Buffer)[];
    return {status: statusCode, headers: raw.map(String), body: bytes};
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

function codeOf(err: unknown): string {
  if (!(err instanceof Error)) return '';
  return 'code' in err ? String(err.code) : '';
}
