/** A gate on another VM, reached over HTTP on its peer listener. */
import {Pool} from 'undici';
import {exchange, ExchangeError} from './exchange.js';
import {
  decodeField,
  encodeField,
  hopWorkOf,
  OUTCOME_FIELD,
  WORK_FIELD,
  type HopOutcome,
} from './hop.js';
import type {ReserveReply} from './messages.js';
import {
  notRun,
  type GateDoor,
  type NotRun,
  type Outcome,
  type Unknown,
  type Work,
} from './work.js';

/** Options of {@link RemoteGate}. */
export interface RemoteGateOptions {
  /** Where to dial, `IP:PORT`. */
  readonly address: string;
  readonly secret: string;
  /** Reserves a slot at that gate; throws if it can't be reached. */
  readonly reserve: (work: Work, timeoutMs: number) => Promise<ReserveReply>;
}

const CONNECT_TIMEOUT_MS = 500;
/** Time that an answer may still need on the way back. */
const ANSWER_GRACE_MS = 50;

/** The door of a gate behind the network. */
export class RemoteGate implements GateDoor {
  readonly #pool: Pool;
  readonly #secret: string;
  readonly #reserve: RemoteGateOptions['reserve'];

  constructor(options: RemoteGateOptions) {
    this.#secret = options.secret;
    this.#reserve = options.reserve;
    this.#pool = new Pool(`http://${options.address}`, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  /** A large body is sent only to a slot that waits for it. */
  async run(work: Work): Promise<Outcome> {
    if (!work.body || work.body.whole) return this.#send(work);
    const leftMs = work.deadlineAtMs - performance.now();
    const reply = await this.#reserve(work, Math.max(1, leftMs)).catch(
      (): ReserveReply => ({refusal: notRun('connect-failed')}),
    );
    if ('refusal' in reply) return reply.refusal;
    return this.#send({...work, reservation: reply.reservation});
  }

  async close(): Promise<void> {
    await this.#pool.close();
  }

  async #send(work: Work): Promise<Outcome> {
    try {
      return await this.#exchange(work);
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err;
      if (!err.started) return notRun('connect-failed');
      if (work.signal.aborted) return {kind: 'unknown', reason: 'cancelled'};
      const reason = err.timedOut ? 'timeout' : 'connection-lost';
      return {kind: 'unknown', reason};
    }
  }

  async #exchange(work: Work): Promise<Outcome> {
    const hop = hopWorkOf(work);
    const leftMs = work.deadlineAtMs - performance.now() + ANSWER_GRACE_MS;
    const answer = await exchange(this.#pool, {
      method: work.method,
      path: work.path,
      headers: [
        ...work.headers,
        'x-chicorycourse-secret',
        this.#secret,
        WORK_FIELD,
        encodeField(hop),
      ],
      body: work.body,
      signal: work.signal,
      headersTimeoutMs: Math.max(1, leftMs),
      mayStart: () => true,
    });
    const index = answer.headers.findIndex(
      (field, i) => i % 2 === 0 && field.toLowerCase() === OUTCOME_FIELD,
    );
    const field = answer.headers[index + 1] ?? '';
    const outcome = index < 0 ? undefined : decodeField<HopOutcome>(field);
    if (outcome?.attempt !== hop.attempt) {
      answer.body.destroy();
      return {kind: 'unknown', reason: 'connection-lost'};
    }
    if (outcome.kind !== 'answered') {
      answer.body.resume();
      return outcome as NotRun | Unknown;
    }
    return {
      kind: 'answered',
      instance: outcome.instance ?? '',
      status: answer.status,
      headers: answer.headers.filter((_, i) => i !== index && i !== index + 1),
      body: answer.body,
    };
  }
}
