/** Client of a gate on another VM, over HTTP to its peer listener. */
import {Pool} from 'undici';
import {exchange, ExchangeError} from './exchange.js';
import {
  decodeHeader,
  encodeHeader,
  createHopWork,
  OUTCOME_HEADER,
  WORK_HEADER,
  type HopOutcome,
  type HopWork,
} from './hop.js';
import type {ClockReading} from '../member/clock_messages.js';
import type {ReserveReply} from './messages.js';
import {
  notRun,
  type GateClient,
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
  readonly record: (reading: ClockReading) => void;
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
  readonly onConnectionLost: () => void;
}

const CONNECT_TIMEOUT_MS = 500;
/** Time allowed for the response to travel back after the deadline. */
const RESPONSE_GRACE_MS = 50;

/** A gate that is reached over the network. */
export class RemoteGate implements GateClient {
  readonly #pool: Pool;
  readonly #secret: string;
  readonly #clock: GateClock;
  readonly #reserve: RemoteGateOptions['reserve'];
  readonly #onRoom: RemoteGateOptions['onRoom'];
  readonly #onConnectionLost: RemoteGateOptions['onConnectionLost'];

  constructor(options: RemoteGateOptions) {
    this.#secret = options.secret;
    this.#clock = options.clock;
    this.#reserve = options.reserve;
    this.#onRoom = options.onRoom;
    this.#onConnectionLost = options.onConnectionLost;
    this.#pool = new Pool(`http://${options.address}`, {
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
    });
  }

  /** A large body is sent only after a slot was reserved for it. */
  async run(work: Work): Promise<Outcome> {
    if (!work.body || work.body.isBuffered) return this.#send(work);
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
    const hop = createHopWork(work, clock);
    if (work.token?.delegate() === false) return notRun('token-expired');
    const outcome = await this.#exchangeToOutcome(work, hop);
    if (outcome.kind === 'answered') work.token?.confirm();
    if (outcome.kind === 'not-run') work.token?.reclaim();
    return outcome;
  }

  async #exchangeToOutcome(work: Work, hop: HopWork): Promise<Outcome> {
    try {
      return await this.#exchange(work, hop);
    } catch (err) {
      if (!(err instanceof ExchangeError)) throw err;
      if (!err.hasStarted) return notRun('connect-failed');
      if (work.signal.aborted) return {kind: 'unknown', reason: 'cancelled'};
      if (err.hasTimedOut) return {kind: 'unknown', reason: 'timeout'};
      this.#onConnectionLost();
      return {kind: 'unknown', reason: 'connection-lost'};
    }
  }

  async #exchange(work: Work, hop: HopWork): Promise<Outcome> {
    const leftMs = work.deadlineAtMs - performance.now() + RESPONSE_GRACE_MS;
    const response = await exchange(this.#pool, {
      method: work.method,
      path: work.path,
      headers: [
        ...work.headers,
        'x-chicorycourse-secret',
        this.#secret,
        WORK_HEADER,
        encodeHeader(hop),
      ],
      body: work.body,
      signal: work.signal,
      headersTimeoutMs: Math.max(1, leftMs),
      mayStart: () => true,
      onProcessing: () => work.token?.confirm(),
    });
    const index = response.headers.findIndex(
      (field, i) => i % 2 === 0 && field.toLowerCase() === OUTCOME_HEADER,
    );
    const outcomeText = response.headers[index + 1] ?? '';
    const outcome =
      index < 0 ? undefined : decodeHeader<HopOutcome>(outcomeText);
    if (outcome?.attempt !== hop.attempt) {
      response.body.destroy();
      return {kind: 'unknown', reason: 'connection-lost'};
    }
    if (outcome.clock) this.#clock.record(outcome.clock);
    if (outcome.room !== undefined) this.#onRoom(work.service, outcome.room);
    if (outcome.kind !== 'answered') {
      response.body.resume();
      return outcome as NotRun | Unknown;
    }
    return {
      kind: 'answered',
      instance: outcome.instance ?? '',
      status: response.status,
      headers: response.headers.filter(
        (_, i) => i !== index && i !== index + 1,
      ),
      body: response.body,
    };
  }
}
