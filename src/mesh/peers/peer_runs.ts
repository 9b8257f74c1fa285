/**
 * Runs requests at the gate of a peer, over the connection to it. A body that
 * would block the connection, or doesn't fit into a frame, is sent in parts, and
 * so is a response; peers that don't know parts get and send whole frames.
 */
import type {Outcome, Work} from '../gate/work.js';
import type {MemoryBudget, MemoryGrant} from '../limits/memory_budget.js';
import type {ResponseMemory} from '../limits/response_memory.js';
import {BodyReceiver, type ReceivedBody} from './body_receiver.js';
import {BodySender, type SendResult} from './body_sender.js';
import {
  BODY_FOLLOWS,
  MAX_FRAME_BODY_BYTES,
  MAX_WHOLE_BODY_BYTES,
  SMALL_FRAME_BYTES,
  type RequestFrame,
  type ResponseFrame,
} from './frames.js';

/** Replies to frames that have an id. */
export type Reply = Extract<ResponseFrame, {readonly id: number}>;
/** Gets undefined if the connection is lost. */
export type ReplyHandler = (reply: Reply | undefined) => void;

/** The connection to a peer. */
export interface PeerConnection {
  readonly isOpen: boolean;
  /** Whether the peer takes bodies in parts. */
  readonly takesParts: boolean;
  /** `onSent` is called when the frame was written, or never will be. */
  send(frame: RequestFrame, onSent?: () => void): void;
  listen(id: number, handler: ReplyHandler): void;
  forget(id: number): void;
}

/** Where bodies and responses get their memory. */
export interface TransferMemory {
  readonly budget: Pick<MemoryBudget, 'reserve' | 'maxBodyBytes'>;
  readonly responses: Pick<ResponseMemory, 'reserve' | 'keep'>;
}

/** One request that is to run at the peer's gate. */
export interface PeerRun {
  /** Of the reservation. */
  readonly id: number;
  readonly instance: string;
  readonly work: Work;
  readonly signal: AbortSignal;
}

/** A frame is a copy of its body, and masking it makes another one. */
const REQUEST_COPIES = 2;
/** How long a response waits for memory; the gate keeps it until then. */
const RESPONSE_WAIT_MS = 500;

const NO_MEMORY_NEEDED = {release: () => undefined};

/** Why a response in parts didn't arrive. */
const LOST_RESPONSES: Readonly<
  Record<Exclude<ReceivedBody['kind'], 'whole'>, string>
> = {
  'no-memory': 'no memory for the response',
  withdrawn: 'connection to the gate lost',
  stalled: 'the response stalled',
  invalid: 'the response has an invalid size',
};

/** The runs on the connection to one peer. */
export class PeerRuns {
  readonly #connection: PeerConnection;
  readonly #memory: TransferMemory | undefined;
  readonly #sender: BodySender;
  readonly #receiver: BodyReceiver;

  constructor(connection: PeerConnection, memory: TransferMemory | undefined) {
    this.#connection = connection;
    this.#memory = memory;
    this.#sender = new BodySender(frame => connection.send(frame));
    this.#receiver = new BodyReceiver({
      reserve: bytes => memory?.responses.reserve(bytes),
      maxBodyBytes: memory?.budget.maxBodyBytes ?? 0,
      maxWaitMs: RESPONSE_WAIT_MS,
      send: frame => connection.send(frame),
    });
  }

  /** Resolves when the run has ended, or its outcome is lost. */
  run(run: PeerRun): Promise<Outcome> {
    const {id, instance, work} = run;
    const {isOpen, takesParts} = this.#connection;
    if (!isOpen) return notRun(instance, 'connection to the gate lost');
    const bodyBytes = work.body.length;
    if (bodyBytes > MAX_WHOLE_BODY_BYTES && takesParts) {
      return this.#start(run, () => this.#sendInParts(run));
    }
    const refuse = (reason: string) => {
      this.#connection.send({kind: 'withdraw', id});
      return notRun(instance, reason);
    };
    // The peer would close the connection, with all that is in flight on it.
    if (bodyBytes > MAX_FRAME_BODY_BYTES) {
      return refuse('body too large for a frame');
    }
    const memory = this.#reserveFrame(bodyBytes);
    if (!memory) return refuse('no memory for the frame');
    return this.#start(run, () => {
      this.#connection.send({kind: 'run', id, work}, () => memory.release());
      return undefined;
    });
  }

  accept(id: number): void {
    this.#sender.accept(id);
  }

  acknowledge(id: number): void {
    this.#sender.acknowledge(id);
  }

  /** Throws if the response exceeds its announced size. */
  addPart(id: number, bytes: Uint8Array): void {
    this.#receiver.add(id, bytes);
  }

  /** All runs have ended for this daemon. */
  connectionLost(): void {
    this.#sender.cancelAll();
    this.#receiver.cancelAll();
  }

  /** `send` resolves to how its transfer ended, if there is one. */
  #start(
    {id, instance, signal}: PeerRun,
    send: () => Promise<SendResult> | undefined,
  ): Promise<Outcome> {
    const ended = new AbortController();
    return new Promise(resolve => {
      const settle = (outcome: Outcome | Promise<Outcome>) => {
        signal.removeEventListener('abort', onAbort);
        this.#connection.forget(id);
        ended.abort();
        resolve(outcome);
      };
      // Without its whole body the gate runs nothing.
      const settleLost = (reason: string) => {
        const isPartial = this.#sender.isPartial(id);
        this.#sender.cancel(id);
        const lost = {kind: 'unknown', instance, reason} as const;
        settle(isPartial ? notRun(instance, reason) : lost);
      };
      const withdraw = (reason: string) => {
        this.#connection.send({kind: 'withdraw', id});
        settleLost(reason);
      };
      const onAbort = () => withdraw('cancelled');
      signal.addEventListener('abort', onAbort, {once: true});
      this.#connection.listen(id, reply => {
        if (reply?.kind === 'outcome') {
          this.#sender.cancel(id);
          return settle(reply.outcome);
        }
        if (reply?.kind !== 'outcome-parts') {
          return settleLost('connection to the gate lost');
        }
        const {outcome, bodyBytes} = reply;
        void this.#receiver.receive(id, bodyBytes, ended.signal).then(body => {
          if (ended.signal.aborted) return;
          if (body.kind !== 'whole') return withdraw(LOST_RESPONSES[body.kind]);
          // The caller's response gets its own grant in the same turn.
          body.grant.release();
          settle({...outcome, body: body.bytes});
        });
      });
      void send()?.then(result => {
        if (ended.signal.aborted || result !== 'partial') return;
        this.#connection.send({kind: 'withdraw', id});
        settle(notRun(instance, 'the gate stopped reading the body'));
      });
    });
  }

  #sendInParts({id, work}: PeerRun): Promise<SendResult> {
    const {body} = work;
    const result = this.#sender.send(id, body);
    const announced = {...work, body: BODY_FOLLOWS};
    const bodyBytes = body.length;
    this.#connection.send({kind: 'run-parts', id, work: announced, bodyBytes});
    return result;
  }

  /**
   * Reserves memory for a frame with a body until it is written; undefined if
   * there is none. Frames with a small body are as frequent as requests, and no
   * more of them wait than there are slots.
   */
  #reserveFrame(bodyBytes: number): Pick<MemoryGrant, 'release'> | undefined {
    if (!this.#memory || bodyBytes <= SMALL_FRAME_BYTES) {
      return NO_MEMORY_NEEDED;
    }
    return this.#memory.budget.reserve(REQUEST_COPIES * bodyBytes, 'frame');
  }
}

function notRun(instance: string, reason: string): Promise<Outcome> {
  const hasArrived = false;
  return Promise.resolve({kind: 'not-run', instance, reason, hasArrived});
}
