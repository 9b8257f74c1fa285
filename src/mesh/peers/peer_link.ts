/**
 * One daemon's connection to another, kept open by a task of its own. The
 * other side's gate and its shared limits are used over it. A peer that stays
 * silent is taken as unreachable: a cut network resets no connection.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket} from 'ws';
import type {DecisionLog} from '../../log/decision_log.js';
import {reasonOf} from '../../errors/failure.js';
import {
  declined,
  type Declined,
  type GateClient,
  type Outcome,
  type Reservation,
  type SlotRequest,
  type Work,
} from '../gate/work.js';
import type {RepeatPayment} from '../limits/repeat_budget.js';
import type {PartPayment} from '../limits/rate_parts.js';
import type {TokenAnswer, TokenRequest} from '../limits/shared_limits.js';
import type {FleetConfiguration, Vm, VmStatus} from '../model.js';
import {
  decodeFrame,
  encodeFrame,
  PEER_PATH,
  type Load,
  type Request,
  type Response,
} from './frames.js';

/** What a link is made from. */
export interface PeerLinkOptions {
  readonly self: () => Vm;
  readonly peer: Vm;
  readonly log: DecisionLog;
  readonly onStatus: (link: PeerLink) => void;
}

/** A gate answers a reservation at once; twice the slowest path is 20 ms. */
const ACKNOWLEDGE_MS = 150;
/** Peers tell their state every 2.5 s; two in a row are missing. */
const SILENCE_MS = 6000;
/** A peer that acknowledged nothing is left alone: doubles, with a ceiling. */
const QUIET_MIN_MS = 700;
const QUIET_MAX_MS = 3000;
/** A share is asked from memory; the request waits for it. */
const SHARE_MS = 150;
const CONFIGURATION_MS = 1000;
const CONNECT_MS = 1000;
/** Pause between attempts to connect: starts low, doubles, with a ceiling. */
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 1500;

type Reply = Extract<Response, {readonly id: number}>;
/** Undefined: the connection is gone. */
type ReplyHandler = (reply: Reply | undefined) => void;

/** A link to one peer. */
export class PeerLink implements GateClient {
  readonly #options: PeerLinkOptions;
  readonly #handlers = new Map<number, ReplyHandler>();
  readonly #stop = new AbortController();
  #socket: WebSocket | undefined;
  #status: VmStatus | undefined;
  #heardAtMs = -Infinity;
  #quietUntilMs = -Infinity;
  #quietMs = QUIET_MIN_MS;
  #connectedAtMs = -Infinity;
  #nextId = 1;
  /** Slots that were asked for and not yet seen in the peer's status. */
  #outstanding = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
  }

  get vm(): Vm {
    return this.#options.peer;
  }

  /** The peer's state as last heard. */
  get status(): VmStatus | undefined {
    return this.#status;
  }

  get outstanding(): number {
    return this.#outstanding;
  }

  /** Whether the peer is expected to answer now. */
  get isReachable(): boolean {
    const nowMs = performance.now();
    const isHeard = nowMs - this.#heardAtMs < SILENCE_MS;
    const isOpen = this.#socket?.readyState === WebSocket.OPEN;
    return isOpen && isHeard && nowMs >= this.#quietUntilMs;
  }

  /** Monotonic time at which the peer was last heard. */
  get heardAtMs(): number {
    return this.#heardAtMs;
  }

  /** Keeps the connection open until the link is stopped. */
  async run(): Promise<void> {
    const {signal} = this.#stop;
    let pauseMs = RECONNECT_MIN_MS;
    while (!signal.aborted) {
      await this.#connection();
      if (performance.now() - this.#connectedAtMs < RECONNECT_MAX_MS) {
        pauseMs = Math.min(RECONNECT_MAX_MS, pauseMs * 2);
      } else {
        pauseMs = RECONNECT_MIN_MS;
      }
      // The rejection only says that the link was stopped meanwhile.
      await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
    }
  }

  /** Ends the connection if the peer is silent, so that a new one is tried. */
  endIfSilent(): void {
    if (this.#socket?.readyState !== WebSocket.OPEN) return;
    if (performance.now() - this.#heardAtMs < SILENCE_MS) return;
    this.#socket.terminate();
  }

  stop(): void {
    this.#stop.abort();
    this.#socket?.terminate();
  }

  reserve(
    slot: SlotRequest,
    signal: AbortSignal,
  ): Promise<Reservation | Declined> {
    if (!this.isReachable) return Promise.resolve(declined('silent'));
    const id = this.#nextId++;
    return new Promise(resolve => {
      this.#outstanding += 1;
      const settle = (result: Reservation | Declined) => {
        clearTimeout(acknowledged);
        signal.removeEventListener('abort', onAbort);
        this.#handlers.delete(id);
        this.#outstanding -= 1;
        resolve(result);
      };
      const withdraw = (why: Declined) => {
        this.#send({kind: 'withdraw', id});
        settle(why);
      };
      const onAbort = () => withdraw(declined('withdrawn'));
      const acknowledged = setTimeout(() => {
        this.#silent('reservation not acknowledged');
        withdraw(declined('silent'));
      }, ACKNOWLEDGE_MS);
      signal.addEventListener('abort', onAbort, {once: true});
      this.#handlers.set(id, reply => {
        if (reply?.kind === 'queued') return clearTimeout(acknowledged);
        if (reply?.kind === 'declined') return settle(reply.why);
        if (reply?.kind !== 'reserved') return settle(declined('silent'));
        settle(this.#reservation(id, reply.instance, reply.lateAfterMs));
      });
      this.#send({kind: 'reserve', id, slot});
    });
  }

  /** Asks the peer for a token of a limit that it owns. */
  async ask(ask: TokenRequest): Promise<TokenAnswer | undefined> {
    const reply = await this.#call(
      id => ({kind: 'share', id, ask}),
      SHARE_MS,
      'limit not answered',
    );
    return reply?.kind === 'share' ? reply.share : undefined;
  }

  /** Pays into a budget that the peer owns, and asks it for one token. */
  async askRepeat(payment: RepeatPayment): Promise<boolean | undefined> {
    const reply = await this.#call(
      id => ({kind: 'repeat', id, payment}),
      SHARE_MS,
      'repeat not answered',
    );
    return reply?.kind === 'repeat' ? reply.isGranted : undefined;
  }

  /** Pays into a budget that the peer owns. */
  pay(payment: RepeatPayment): void {
    this.#send({kind: 'payment', payment});
  }

  /** Makes this daemon's parts of the rates over to the peer. */
  payPart(payment: PartPayment): void {
    this.#send({kind: 'part', payment});
  }

  /** The configuration that the peer has in force. */
  async configuration(): Promise<FleetConfiguration | undefined> {
    const reply = await this.#call(
      id => ({kind: 'configuration', id}),
      CONFIGURATION_MS,
      'configuration not answered',
    );
    return reply?.kind === 'configuration' ? reply.configuration : undefined;
  }

  #call(
    frame: (id: number) => Request,
    timeoutMs: number,
    complaint: string,
  ): Promise<Reply | undefined> {
    if (!this.isReachable) return Promise.resolve(undefined);
    const id = this.#nextId++;
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.#handlers.delete(id);
        this.#silent(complaint);
        resolve(undefined);
      }, timeoutMs);
      this.#handlers.set(id, reply => {
        clearTimeout(timer);
        this.#handlers.delete(id);
        resolve(reply);
      });
      this.#send(frame(id));
    });
  }

  #reservation(id: number, instance: string, lateAfterMs: number): Reservation {
    return {
      kind: 'reserved',
      instance,
      lateAfterMs,
      release: () => this.#send({kind: 'withdraw', id}),
      run: (work, signal) => this.#run(id, instance, work, signal),
    };
  }

  #run(
    id: number,
    instance: string,
    work: Work,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const unknown = (reason: string): Outcome => {
      return {kind: 'unknown', instance, reason};
    };
    if (this.#socket?.readyState !== WebSocket.OPEN) {
      const reason = 'connection to the gate lost before sending';
      const hasArrived = false;
      return Promise.resolve({kind: 'not-run', instance, reason, hasArrived});
    }
    return new Promise(resolve => {
      const settle = (outcome: Outcome) => {
        signal.removeEventListener('abort', onAbort);
        this.#handlers.delete(id);
        resolve(outcome);
      };
      const onAbort = () => {
        this.#send({kind: 'withdraw', id});
        settle(unknown('cancelled'));
      };
      signal.addEventListener('abort', onAbort, {once: true});
      this.#handlers.set(id, reply => {
        if (reply?.kind === 'outcome') return settle(reply.outcome);
        settle(unknown('connection to the gate lost'));
      });
      this.#send({kind: 'run', id, work});
    });
  }

  /** One connection from its start to its end. */
  #connection(): Promise<void> {
    const {peer, self, log} = this.#options;
    const socket = new WebSocket(`ws://${peer.address}${PEER_PATH}`, {
      handshakeTimeout: CONNECT_MS,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    socket.on('open', () => {
      this.#connectedAtMs = performance.now();
      this.#heardAtMs = this.#connectedAtMs;
      this.#quietUntilMs = -Infinity;
      this.#send({kind: 'hello', vm: self()});
      log.belief('peer-connected', {peer: peer.id});
    });
    socket.on('message', (bytes: Buffer) => this.#receive(bytes));
    let reason = 'closed';
    socket.on('error', err => (reason = reasonOf(err)));
    return new Promise(resolve => {
      socket.on('close', () => {
        if (this.#heardAtMs > -Infinity) {
          log.belief('peer-lost', {peer: peer.id, reason});
        }
        this.#heardAtMs = -Infinity;
        this.#status = undefined;
        this.#loseHandlers();
        resolve();
      });
    });
  }

  #silent(what: string): void {
    const forMs = this.#quietMs;
    this.#quietUntilMs = performance.now() + forMs;
    this.#quietMs = Math.min(QUIET_MAX_MS, forMs * 2);
    const {peer, log} = this.#options;
    log.belief('peer-silent', {peer: peer.id, what, forMs});
  }

  #receive(bytes: Buffer): void {
    this.#heardAtMs = performance.now();
    const frame = this.#decode(bytes);
    if (!frame) return;
    if (frame.kind === 'status') this.#status = frame.status;
    if ('load' in frame) this.#noteLoad(frame.load);
    if (!('id' in frame)) return this.#options.onStatus(this);
    this.#quietMs = QUIET_MIN_MS;
    this.#handlers.get(frame.id)?.(frame);
  }

  #noteLoad(load: Load): void {
    const backend = this.#status?.backend;
    if (!this.#status || !backend) return;
    this.#status = {...this.#status, backend: {...backend, ...load}};
  }

  #decode(bytes: Buffer): Response | undefined {
    const {peer, log} = this.#options;
    try {
      return decodeFrame<Response>(bytes, peer.id);
    } catch (err) {
      log.belief('peer-frame-invalid', {peer: peer.id, reason: reasonOf(err)});
      this.#socket?.terminate();
      return undefined;
    }
  }

  #loseHandlers(): void {
    const handlers = [...this.#handlers.values()];
    this.#handlers.clear();
    handlers.forEach(handler => handler(undefined));
  }

  #send(frame: Request): void {
    if (this.#socket?.readyState !== WebSocket.OPEN) return;
    this.#socket.send(encodeFrame(frame));
  }
}
