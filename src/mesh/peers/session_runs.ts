/**
 * Runs requests for a peer at the gate of this VM. A body that comes in parts is
 * received before a slot is taken for it, so that no slot is idle meanwhile, and
 * the request runs only with its whole body. A large response stays under the
 * memory budget of this daemon until the peer has it.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {
  Answered,
  GateClient,
  Outcome,
  Reservation,
  SlotRequest,
  Work,
} from '../gate/work.js';
import type {MemoryGrant} from '../limits/memory_budget.js';
import {BodyReceiver} from './body_receiver.js';
import {BodySender} from './body_sender.js';
import {
  BODY_FOLLOWS,
  MAX_WHOLE_BODY_BYTES,
  SMALL_FRAME_BYTES,
  type GateLoad,
  type RequestFrame,
  type ResponseFrame,
} from './frames.js';
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
  /** `onSent` is called when the frame was written, or never will be. */
  readonly send: (frame: ResponseFrame, onSent?: () => void) => void;
}

type PartsFrame = Extract<RequestFrame, {readonly kind: 'run-parts'}>;

/** How long a body waits for memory, in milliseconds. */
const BODY_WAIT_MS = 2000;
/** The response and the frame that is made of it. */
const FRAME_COPIES = 2;
const NO_MEMORY = 'no-memory';

/** The runs of one peer. */
export class SessionRuns {
  /** Whether the peer takes responses in parts. */
  peerTakesParts = false;
  readonly #options: SessionRunsOptions;
  readonly #sender: BodySender;
  readonly #receiver: BodyReceiver;

  constructor(options: SessionRunsOptions) {
    this.#options = options;
    const {budget} = options.memory;
    this.#sender = new BodySender(frame => options.send(frame));
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
    this.#answer(id, await reservation.run(work, signal));
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
    this.#answer(id, outcome);
  }

  /** Tells the peer that its request hasn't run. */
  refuse(id: number, reason: string): void {
    this.#sendOutcome(id, notRun('', reason));
  }

  accept(id: number): void {
    this.#sender.accept(id);
  }

  acknowledge(id: number): void {
    this.#sender.acknowledge(id);
  }

  /** Throws if a body exceeds its announced size. */
  addPart(id: number, bytes: Uint8Array): void {
    this.#receiver.add(id, bytes);
  }

  /** The peer needs no response any more. */
  withdraw(id: number): void {
    this.#sender.cancel(id);
  }

  /** The connection is lost. */
  end(): void {
    this.#sender.cancelAll();
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

  #answer(id: number, outcome: Outcome): void {
    const isSmall =
      outcome.kind !== 'answered' || outcome.body.length <= SMALL_FRAME_BYTES;
    if (isSmall) return this.#sendOutcome(id, outcome);
    const {responses} = this.#options.memory;
    const {length} = outcome.body;
    const isInParts = length > MAX_WHOLE_BODY_BYTES && this.peerTakesParts;
    const grant = isInParts
      ? responses.keep(length)
      : responses.reserve(FRAME_COPIES * length);
    if (!grant) {
      const {instance} = outcome;
      const lost = {kind: 'unknown', instance, reason: NO_MEMORY} as const;
      return this.#sendOutcome(id, lost);
    }
    if (isInParts) void this.#sendInParts(id, outcome, grant);
    else this.#sendOutcome(id, outcome, () => grant.release());
  }

  async #sendInParts(
    id: number,
    outcome: Answered,
    grant: MemoryGrant,
  ): Promise<void> {
    const {load, send} = this.#options;
    const {body, instance} = outcome;
    const ended = this.#sender.send(id, body);
    send({
      kind: 'outcome-parts',
      id,
      outcome: {...outcome, body: BODY_FOLLOWS},
      bodyBytes: body.length,
      load: load(),
    });
    const result = await ended;
    grant.release();
    if (result === 'sent') return;
    const reason = 'the response was not read';
    this.#sendOutcome(id, {kind: 'unknown', instance, reason});
  }

  #sendOutcome(id: number, outcome: Outcome, onSent?: () => void): void {
    const {load, send} = this.#options;
    send({kind: 'outcome', id, outcome, load: load()}, onSent);
  }
}

function notRun(instance: string, reason: string): Outcome {
  return {kind: 'not-run', instance, reason, hasArrived: false};
}
