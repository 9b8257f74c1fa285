/** Client of a gate on another VM, over HTTP to its peer listener. */
import {Pool} from 'undici';
import {exchange, ExchangeError} from './exchange.js';
import {
  decodeField,
  encodeField,
  hopWorkOf,
  OUTCOME_FIELD,
  WORK_FIELD,
  type HopOutcome,
  type HopWork,
} from './hop.js';
import type {ClockReading} from '../member/clock_messages.js';
import type {ReserveReply} from './messages.js';
import {
  notRun,
  type GateDoor,
  type NotRun,
  type Outcome,
  type Unknown,
  type Work,
} from './work.js';

/** This daemon's estimate of the clock of the gate's process. */
export interface GateClock {
  /** Throws if no reading is known and the gate can't be reached. */
  readonly read: () => Promise<ClockReading>;
  /** Records a reading that arrived with an outcome. */
  readonly note: (reading: ClockReading) => void;
}

/** Options of {@link RemoteGate}. */
export interface RemoteGateOptions {
  /** Peer address of the gate, `IP:PORT`. */
  readonly address: string;
  readonly secret: string;
  readonly clock: GateClock;
  /** Reserves a slot at that gate; throws if it can't be reached. */
  readonly reserve: (work: Work, timeoutMs: number) => Promise<ReserveReply>;
  /** Called with the room (free slots minus queued) that the gate reported. */
  readonly onRoom: (service: string, room: number) => void;
  /** Called when the connection was lost before an outcome arrived. */
  readonly onLost: () => void;
}

const CONNECT_TIMEOUT_MS = 500;
/** Time allowed for the response to travel back after the deadline. */
const ANSWER_GRACE_MS = 50;

/** A gate that is reached over the network. */
export class RemoteGate implements GateDoor {
  readonly #pool: Pool;
  readonly #secret: string;
  readonly #clock: GateClock;
  readonly #reserve: RemoteGateOptions['reserve'];
  readonly #onRoom: RemoteGateOptions['onRoom'];
  readonly #onLost: RemoteGateOptions['onLost'];

  constructor(options: RemoteGateOptions) {
    this.#secret = options.secret;
    this.#clock = options.clock;
    this.#reserve = options.reserve;
    this.#onRoom = options.onRoom;
    this.#onLost = options.onLost;
    this.#pool = new Pool(`http://${options.address}`, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  /** A large body is sent only after a slot was reserved for it. */
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

  /** Transfers the token; the gate spends it according to its own clock. */
  async #send(work: Work): Promise<Outcome> {
    const clock = await this.#clock.read().catch(() => undefined);
    if (!clock) return notRun('connect-failed');
    const hop = hopWorkOf(work, clock);
    if (work.token?.handOver() === false) return notRun('token-expired');
    const outcome = await this.#exchangeInTime(work, hop);
    if (outcome.kind === 'answered') work.token?.confirm();
    if (outcome.kind === 'not-run') work.token?.takeBack();
    return outcome;
  }

  async #exchangeInTime(work: Work, hop: HopWork): Promise<Outcome> {
    try {
      return await this.#exchange(work, hop);
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err;
      if (!err.started) return notRun('connect-failed');
      if (work.signal.aborted) return {kind: 'unknown', reason: 'cancelled'};
      if (err.timedOut) return {kind: 'unknown', reason: 'timeout'};
      this.#onLost();
      return {kind: 'unknown', reason: 'connection-lost'};
    }
  }

  async #exchange(work: Work, hop: HopWork): Promise<Outcome> {
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
      onProcessing: () => work.token?.confirm(),
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
    if (outcome.clock) this.#clock.note(outcome.clock);
    if (outcome.room !== undefined) this.#onRoom(work.service, outcome.room);
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
