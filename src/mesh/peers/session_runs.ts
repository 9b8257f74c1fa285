/**
 * Runs requests for a peer at the gate of this VM. A body that comes in parts is
 * received before a slot is taken for it, so that no slot is idle meanwhile, and
 * the request runs only with its whole body.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {
  GateClient,
  Outcome,
  Reservation,
  SlotRequest,
  Work,
} from '../gate/work.js';
import {BodyReceiver} from './body_receiver.js';
import type {GateLoad, RequestFrame, ResponseFrame} from './frames.js';
import type {TransferMemory} from './peer_runs.js';

/** One reservation of the peer, until it has run or is withdrawn. */
export interface HeldReservation {
  readonly slot: SlotRequest;
  readonly abort: AbortController;
  reservation?: Reservation;
}

/** Options of {@link SessionRuns}. */
export interface SessionRunsOptions {
  readonly gate: GateClient;
  readonly memory: TransferMemory;
  readonly log: DecisionLog;
  /** Id of the peer's VM. */
  readonly peerId: () => string;
  readonly load: () => GateLoad;
  readonly send: (frame: ResponseFrame) => void;
}

type PartsFrame = Extract<RequestFrame, {readonly kind: 'run-parts'}>;

/** How long a body waits for memory, in milliseconds. */
const BODY_WAIT_MS = 2000;

/** The runs of one peer. */
export class SessionRuns {
  readonly #options: SessionRunsOptions;
  readonly #receiver: BodyReceiver;

  constructor(options: SessionRunsOptions) {
    this.#options = options;
    const budget = options.memory;
    this.#receiver = new BodyReceiver({
      reserve: bytes => budget.reserve(bytes, 'peer-body'),
      maxBodyBytes: budget.maxBodyBytes,
      maxWaitMs: BODY_WAIT_MS,
      send: frame => options.send(frame),
    });
  }

  /** Runs a request whose body is there; resolves when it has ended. */
  async run(
    id: number,
    work: Work,
    reservation: Reservation,
    signal: AbortSignal,
  ): Promise<void> {
    this.#sendOutcome(id, await reservation.run(work, signal));
  }

  /** Receives the body of a request first, then runs it. */
  async runInParts(
    {id, work, bodyBytes}: PartsFrame,
    held: HeldReservation,
  ): Promise<void> {
    const {abort} = held;
    const startedAtMs = performance.now();
    held.reservation?.release();
    held.reservation = undefined;
    const body = await this.#receiver.receive(id, bodyBytes, abort.signal);
    if (body.kind !== 'whole') {
      const {log, peerId} = this.#options;
      const fields = {id: work.requestId, peer: peerId(), bytes: bodyBytes};
      log.failure('peer-body-refused', {...fields, reason: body.kind});
      return this.refuse(id, body.kind);
    }
    const leftMs = work.leftMs - (performance.now() - startedAtMs);
    const whole = {...work, body: body.bytes, leftMs};
    const outcome = await this.#runAtGate(whole, held);
    body.grant.release();
    this.#sendOutcome(id, outcome);
  }

  /** Tells the peer that its request hasn't run. */
  refuse(id: number, reason: string): void {
    this.#sendOutcome(id, notRun('', reason));
  }

  /** Throws if a body exceeds its announced size. */
  addPart(id: number, bytes: Uint8Array): void {
    this.#receiver.add(id, bytes);
  }

  /** The connection is lost. */
  end(): void {
    this.#receiver.cancelAll();
  }

  /** Takes a slot for a request that is there as a whole, and runs it. */
  async #runAtGate(work: Work, held: HeldReservation): Promise<Outcome> {
    const {slot, abort} = held;
    const request = {...slot, leftMs: Math.max(1, work.leftMs)};
    const startedAtMs = performance.now();
    const result = await this.#options.gate.reserve(request, abort.signal);
    if (result.kind === 'declined') return notRun('', result.reason);
    if (abort.signal.aborted) {
      result.release();
      return notRun(result.instance, 'withdrawn');
    }
    held.reservation = result;
    const leftMs = work.leftMs - (performance.now() - startedAtMs);
    return result.run({...work, leftMs}, abort.signal);
  }

  #sendOutcome(id: number, outcome: Outcome): void {
    const {load, send} = this.#options;
    send({kind: 'outcome', id, outcome, load: load()});
  }
}

function notRun(instance: string, reason: string): Outcome {
  return {kind: 'not-run', instance, reason, hasArrived: false};
}
