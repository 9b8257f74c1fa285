/**
 * One daemon's connection to a peer, kept open by its own task. This daemon
 * uses the peer's gate and shared limits over it. A peer that stays silent is
 * considered unreachable, since a network partition resets no connection.
 */
import {connect, type TcpNetConnectOpts} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {WebSocket} from 'ws';
import type {DecisionLog} from '../../log/decision_log.js';
import type {ConnectOutcome, MeshMetrics} from '../mesh_metrics.js';
import {reasonOf} from '../../errors/failure.js';
import {
  declined,
  type Declined,
  type GateClient,
  type Reservation,
  type SlotRequest,
} from '../gate/work.js';
import type {RepeatPayment} from '../limits/repeat_budget.js';
import type {PartPayment} from '../limits/rate_parts.js';
import type {FingerprintRecord} from '../router/query_of_death.js';
import type {TokenAnswer, TokenRequest} from '../limits/shared_limits.js';
import {ResponseTimeout} from '../../timing/response_timeout.js';
import type {FleetConfiguration, Vm, VmStatus} from '../model.js';
import {fingerprintRecordsSchema} from './fingerprint_schema.js';
import {
  decodeFrame,
  encodeFrame,
  MISDIRECTED_STATUS,
  peerUrl,
  type GateLoad,
  type RequestFrame,
  type ResponseFrame,
} from './frames.js';
import type {HandshakeQueue} from './handshake_queue.js';
import {
  PeerRuns,
  type PeerConnection,
  type Reply,
  type ReplyHandler,
  type TransferMemory,
} from './peer_runs.js';

/** Options of {@link PeerLink}. */
export interface PeerLinkOptions {
  /** For large bodies; without it, they are not accounted for. */
  readonly memory?: TransferMemory;
  readonly self: () => Vm;
  readonly peer: Vm;
  /** Shared by the links of a daemon. */
  readonly handshakes: HandshakeQueue;
  readonly log: DecisionLog;
  readonly metrics: Pick<MeshMetrics, 'recordPeerConnect'>;
  readonly onStatus: (link: PeerLink) => void;
  readonly onFingerprints: (records: readonly FingerprintRecord[]) => void;
}

/** A gate replies at once, and a round trip on the slowest path takes 20 ms. */
const ACKNOWLEDGE_TIMEOUT_MS = 150;
/** How often a link is checked for frames from its peer. */
export const SILENCE_CHECK_INTERVAL_MS = 1000;
/** Peers send their status every 2.5 s: two in a row are missing. */
const MAX_SILENT_CHECKS = 6;
/** Backoff from a peer that did not reply in time; doubles up to a maximum. */
const BACKOFF_MIN_MS = 700;
const BACKOFF_MAX_MS = 3000;
/** A peer replies from memory, and a caller's request waits for the reply. */
const SHARE_TIMEOUT_MS = 150;
const CONFIGURATION_TIMEOUT_MS = 1000;
/** The peer's system accepts a connection however busy the peer is. */
const CONNECT_TIMEOUT_MS = 1000;
/**
 * Timeout of a handshake; doubles up to a maximum with each one that timed out,
 * since a busy peer has to do the work of an attempt that was given up as well.
 */
const HANDSHAKE_TIMEOUT_MIN_MS = 1000;
const HANDSHAKE_TIMEOUT_MAX_MS = 8000;
/** Delay between attempts to connect; doubles up to a maximum. */
const RECONNECT_MIN_MS = 100;
const RECONNECT_MAX_MS = 1500;
/**
 * After a handshake that another daemon refused, the delay grows much faster:
 * an address of a VM that is gone is often used again, and each attempt costs
 * both daemons a whole handshake. The peer itself, once it is back, connects to
 * this daemon, which ends the delay.
 */
const MISDIRECTED_MAX_MS = 10_000;
const MISDIRECTED_GROWTH = 8;
/** Up to this share of the delay is random, so that daemons spread out. */
const RECONNECT_JITTER_RATIO = 0.5;

/** What a link's task is doing, from the view of this daemon. */
export const LINK_STATES = [
  'open',
  'backing-off',
  'connecting',
  'waiting',
] as const;
export type LinkState = (typeof LINK_STATES)[number];

/** A connection that is being opened. */
interface Connection {
  /** Resolves when the handshake has succeeded or failed. */
  readonly settled: Promise<void>;
  readonly closed: Promise<void>;
}

type FingerprintsFrame = Extract<
  ResponseFrame,
  {readonly kind: 'fingerprints'}
>;

/** Frames that concern the transfer of a body. */
type TransferFrame = Extract<
  ResponseFrame,
  {readonly kind: 'body-part' | 'body-ack' | 'body-accept'}
>;
const TRANSFER_KINDS: ReadonlySet<string> = new Set<TransferFrame['kind']>([
  'body-part',
  'body-ack',
  'body-accept',
]);
type TransferHandlers = {
  readonly [Kind in TransferFrame['kind']]: (
    frame: Extract<TransferFrame, {readonly kind: Kind}>,
  ) => void;
};

/** What a peer passes on of what it read from the store. */
export interface PeerConfiguration {
  readonly configuration: FleetConfiguration;
  /** Not validated; missing if the peer doesn't know it. */
  readonly evacuated: unknown;
}

/** The link to one peer. */
export class PeerLink implements GateClient {
  readonly #options: PeerLinkOptions;
  readonly #replyHandlers = new Map<number, ReplyHandler>();
  readonly #stopController = new AbortController();
  readonly #runs: PeerRuns;
  readonly #transferHandlers: TransferHandlers = {
    'body-accept': ({id}) => this.#runs.accept(id),
    'body-part': ({id, bytes}) => this.#runs.addPart(id, bytes),
    'body-ack': ({id}) => this.#runs.acknowledge(id),
  };
  /** Whether the peer takes bodies in parts. */
  #takesParts = false;
  #socket: WebSocket | undefined;
  #status: VmStatus | undefined;
  #lastHeardAtMs = -Infinity;
  /** Checks for silence since the last frame. */
  #silentChecks = 0;
  /** When the load in the status was received. */
  #loadAtMs = -Infinity;
  #backoffUntilMs = -Infinity;
  #backoffMs = BACKOFF_MIN_MS;
  #connectedAtMs = -Infinity;
  /** Attempts to connect that failed since the last connection. */
  #failedAttempts = 0;
  /** Handshakes that timed out since the last connection. */
  #handshakeTimeouts = 0;
  /** Whether the last attempt led to a connection. */
  #wasOpened = false;
  /** Attempts since a connection that lasted, for the delay between them. */
  #unstableAttempts = 0;
  /** Handshakes in a row that another daemon at the address refused. */
  #misdirectedAttempts = 0;
  #pauseController = new AbortController();
  #nextId = 1;
  /** Reservations in progress, which the peer's status may not show yet. */
  #outstanding = 0;

  constructor(options: PeerLinkOptions) {
    this.#options = options;
    this.#runs = new PeerRuns(this.#createConnection(), options.memory);
  }

  get vm(): Vm {
    return this.#options.peer;
  }

  /** The peer's status as last received. */
  get status(): VmStatus | undefined {
    return this.#status;
  }

  get outstanding(): number {
    return this.#outstanding;
  }

  /** Whether the peer is expected to reply now. */
  get isReachable(): boolean {
    const isOpen = this.#socket?.readyState === WebSocket.OPEN;
    return isOpen && !this.#isSilent && !this.#isBackingOff;
  }

  get state(): LinkState {
    const {readyState = WebSocket.CLOSED} = this.#socket ?? {};
    if (readyState === WebSocket.CONNECTING) return 'connecting';
    if (readyState !== WebSocket.OPEN) return 'waiting';
    return this.isReachable ? 'open' : 'backing-off';
  }

  /** Monotonic time of the last frame from the peer. */
  get lastHeardAtMs(): number {
    return this.#lastHeardAtMs;
  }

  /**
   * How long a request would wait for its turn at the peer's gate; undefined if
   * the instance there names no rate limit.
   */
  get turnWaitMs(): number | undefined {
    const waitMs = this.#status?.backend?.turnWaitMs;
    if (waitMs === undefined) return undefined;
    return Math.max(0, waitMs - (performance.now() - this.#loadAtMs));
  }

  /** Keeps the connection open until the link is stopped. */
  async run(): Promise<void> {
    const {signal} = this.#stopController;
    while (!signal.aborted) {
      await this.#connectOnce(signal);
      const openForMs = performance.now() - this.#connectedAtMs;
      const wasStable = this.#wasOpened && openForMs >= RECONNECT_MAX_MS;
      this.#unstableAttempts = wasStable ? 0 : this.#unstableAttempts + 1;
      await this.#pause(this.#reconnectDelayMs(), signal);
    }
  }

  /** Ends the pause before the next attempt, since the peer is there. */
  reconnectNow(): void {
    this.#unstableAttempts = 0;
    this.#misdirectedAttempts = 0;
    this.#pauseController.abort();
  }

  #reconnectDelayMs(): number {
    const attempts = this.#misdirectedAttempts;
    if (attempts === 0) {
      const bounds = {factor: 2, maxMs: RECONNECT_MAX_MS};
      return growingDelayMs(this.#unstableAttempts, bounds);
    }
    const bounds = {factor: MISDIRECTED_GROWTH, maxMs: MISDIRECTED_MAX_MS};
    return growingDelayMs(attempts, bounds);
  }

  async #pause(delayMs: number, signal: AbortSignal): Promise<void> {
    this.#pauseController = new AbortController();
    const endPause = () => this.#pauseController.abort();
    signal.addEventListener('abort', endPause, {once: true});
    // Rejects only if the pause is ended early.
    await sleep(delayMs, undefined, {
      signal: this.#pauseController.signal,
    }).catch(() => undefined);
    signal.removeEventListener('abort', endPause);
  }

  /**
   * Closes the connection if the peer is silent, so that a new one is opened.
   * Checks are counted, not time: after a pause of this process, what the peer
   * sent meanwhile is read only after the timer of the check has fired.
   */
  checkSilence(): void {
    if (this.#socket?.readyState !== WebSocket.OPEN) return;
    this.#silentChecks += 1;
    if (this.#isSilent) this.#socket.terminate();
  }

  stop(): void {
    this.#stopController.abort();
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
        timeout.cancel();
        signal.removeEventListener('abort', onAbort);
        this.#replyHandlers.delete(id);
        this.#outstanding -= 1;
        resolve(result);
      };
      const withdraw = (why: Declined) => {
        this.#send({kind: 'withdraw', id});
        settle(why);
      };
      const onAbort = () => withdraw(declined('withdrawn'));
      const timeout = new ResponseTimeout(ACKNOWLEDGE_TIMEOUT_MS, () => {
        this.#backOff('reservation not acknowledged');
        withdraw(declined('silent'));
      });
      signal.addEventListener('abort', onAbort, {once: true});
      this.#replyHandlers.set(id, reply => {
        if (reply?.kind === 'queued') return timeout.cancel();
        if (reply?.kind === 'declined') return settle(reply.why);
        if (reply?.kind !== 'reserved') return settle(declined('silent'));
        settle(this.#createReservation(id, reply.instance, reply.lateAfterMs));
      });
      this.#send({kind: 'reserve', id, slot});
    });
  }

  /** Requests one token of a limit that the peer owns. */
  async requestShare(ask: TokenRequest): Promise<TokenAnswer | undefined> {
    const reply = await this.#call(
      id => ({kind: 'share', id, ask}),
      SHARE_TIMEOUT_MS,
      'limit not answered',
    );
    return reply?.kind === 'share' ? reply.share : undefined;
  }

  /** Pays into a retry budget that the peer owns, and requests one token. */
  async requestRepeat(payment: RepeatPayment): Promise<boolean | undefined> {
    const reply = await this.#call(
      id => ({kind: 'repeat', id, payment}),
      SHARE_TIMEOUT_MS,
      'repeat not answered',
    );
    return reply?.kind === 'repeat' ? reply.isGranted : undefined;
  }

  /** Pays into a retry budget that the peer owns. */
  pay(payment: RepeatPayment): void {
    this.#send({kind: 'payment', payment});
  }

  /** Transfers this daemon's parts of the rates to the peer. */
  payPart(payment: PartPayment): void {
    this.#send({kind: 'part', payment});
  }

  /** Fetches the configuration and evacuations in force at the peer. */
  async fetchConfiguration(): Promise<PeerConfiguration | undefined> {
    const reply = await this.#call(
      id => ({kind: 'configuration', id}),
      CONFIGURATION_TIMEOUT_MS,
      'configuration not answered',
    );
    if (reply?.kind !== 'configuration' || !reply.configuration)
      return undefined;
    const {configuration, evacuated} = reply;
    return {configuration, evacuated};
  }

  #call(
    frame: (id: number) => RequestFrame,
    timeoutMs: number,
    what: string,
  ): Promise<Reply | undefined> {
    if (!this.isReachable) return Promise.resolve(undefined);
    const id = this.#nextId++;
    return new Promise(resolve => {
      const timeout = new ResponseTimeout(timeoutMs, () => {
        this.#replyHandlers.delete(id);
        this.#backOff(what);
        resolve(undefined);
      });
      this.#replyHandlers.set(id, reply => {
        timeout.cancel();
        this.#replyHandlers.delete(id);
        resolve(reply);
      });
      this.#send(frame(id));
    });
  }

  #createReservation(
    id: number,
    instance: string,
    lateAfterMs: number,
  ): Reservation {
    return {
      kind: 'reserved',
      instance,
      lateAfterMs,
      release: () => this.#send({kind: 'withdraw', id}),
      run: (work, signal) => this.#runs.run({id, instance, work, signal}),
    };
  }

  /** The connection as the runs use it, over all times that it is opened. */
  #createConnection(): PeerConnection {
    const isOpen = () => this.#socket?.readyState === WebSocket.OPEN;
    const takesParts = () => this.#takesParts;
    return {
      get isOpen() {
        return isOpen();
      },
      get takesParts() {
        return takesParts();
      },
      send: (frame, onSent) => this.#send(frame, onSent),
      listen: (id, handler) => this.#replyHandlers.set(id, handler),
      forget: id => this.#replyHandlers.delete(id),
    };
  }

  /** Opens one connection; resolves when it is closed. */
  async #connectOnce(signal: AbortSignal): Promise<void> {
    const {handshakes} = this.#options;
    let closed: Promise<void> | undefined;
    const handshake = () => {
      const connection = this.#openConnection();
      closed = connection.closed;
      return connection.settled;
    };
    await handshakes.run(handshake, this.#failedAttempts, signal);
    await closed;
  }

  #openConnection(): Connection {
    const {peer, self, log} = this.#options;
    const startedAtMs = performance.now();
    let reason: string | undefined;
    this.#wasOpened = false;
    const onAccepted = () => {
      timeout.cancel();
      const factor = 2 ** this.#handshakeTimeouts;
      const timeoutMs = HANDSHAKE_TIMEOUT_MIN_MS * factor;
      timeout = new ResponseTimeout(
        Math.min(HANDSHAKE_TIMEOUT_MAX_MS, timeoutMs),
        () => {
          this.#handshakeTimeouts += 1;
          giveUp('handshake timed out');
        },
      );
    };
    // `path` is that of the request, and would be taken for a local socket's.
    const openSocket = (options: TcpNetConnectOpts) =>
      connect({...options, path: undefined} as TcpNetConnectOpts).once(
        'connect',
        onAccepted,
      );
    const socket = new WebSocket(peerUrl(peer), {
      perMessageDeflate: false,
      createConnection: openSocket as typeof connect,
    });
    this.#socket = socket;
    const giveUp = (why: string) => {
      reason = why;
      socket.terminate();
    };
    let timeout = new ResponseTimeout(CONNECT_TIMEOUT_MS, () =>
      giveUp('connection timed out'),
    );
    socket.on('message', (bytes: Buffer) => this.#receive(bytes));
    socket.on('error', err => (reason ??= reasonOf(err)));
    let isMisdirected = false;
    socket.on('unexpected-response', (_req, {statusCode}) => {
      isMisdirected = statusCode === MISDIRECTED_STATUS;
      giveUp(`handshake refused with status ${statusCode}`);
    });
    const opened = new Promise<void>(resolve => {
      socket.on('open', () => {
        timeout.cancel();
        this.#wasOpened = true;
        this.#handshakeTimeouts = 0;
        this.#connectedAtMs = performance.now();
        this.#recordConnect('opened', startedAtMs);
        this.#lastHeardAtMs = this.#connectedAtMs;
        this.#silentChecks = 0;
        this.#backoffUntilMs = -Infinity;
        this.#send({kind: 'hello', vm: self(), takesParts: true});
        log.belief('peer-connected', {peer: peer.id});
        resolve();
      });
    });
    const closed = new Promise<void>(resolve => {
      socket.on('close', () => {
        timeout.cancel();
        this.#misdirectedAttempts = isMisdirected
          ? this.#misdirectedAttempts + 1
          : 0;
        if (this.#wasOpened)
          log.belief('peer-lost', {peer: peer.id, reason: reason ?? 'closed'});
        else if (!this.#stopController.signal.aborted)
          this.#recordConnect('failed', startedAtMs, reason);
        this.#lastHeardAtMs = -Infinity;
        this.#status = undefined;
        this.#takesParts = false;
        this.#failPendingReplies();
        this.#runs.connectionLost();
        resolve();
      });
    });
    return {settled: Promise.race([opened, closed]), closed};
  }

  /** Logs failed attempts at a rate that falls with their number. */
  #recordConnect(
    outcome: ConnectOutcome,
    startedAtMs: number,
    reason = 'closed',
  ): void {
    const {peer, log, metrics} = this.#options;
    const tookMs = performance.now() - startedAtMs;
    metrics.recordPeerConnect(outcome, tookMs);
    if (outcome === 'opened') {
      this.#failedAttempts = 0;
      return;
    }
    this.#failedAttempts += 1;
    const attempts = this.#failedAttempts;
    if (!isPowerOfTwo(attempts)) return;
    const fields = {peer: peer.id, reason, attempts};
    log.belief('peer-connect-failed', {...fields, tookMs: Math.round(tookMs)});
  }

  #backOff(what: string): void {
    const forMs = this.#backoffMs;
    this.#backoffUntilMs = performance.now() + forMs;
    this.#backoffMs = Math.min(BACKOFF_MAX_MS, forMs * 2);
    const {peer, log} = this.#options;
    log.belief('peer-silent', {peer: peer.id, what, forMs});
  }

  get #isSilent(): boolean {
    return this.#silentChecks > MAX_SILENT_CHECKS;
  }

  get #isBackingOff(): boolean {
    return performance.now() < this.#backoffUntilMs;
  }

  #receive(bytes: Buffer): void {
    this.#lastHeardAtMs = performance.now();
    this.#silentChecks = 0;
    const frame = this.#decode(bytes);
    if (!frame) return;
    if (frame.kind === 'fingerprints') return this.#receiveRecords(frame);
    if (isTransferFrame(frame)) return this.#receiveTransfer(frame);
    if (frame.kind === 'takes-parts') {
      this.#takesParts = true;
      return;
    }
    if (frame.kind === 'status') this.#status = frame.status;
    if ('load' in frame) this.#updateLoad(frame.load);
    if (!('id' in frame)) return this.#options.onStatus(this);
    this.#backoffMs = BACKOFF_MIN_MS;
    this.#replyHandlers.get(frame.id)?.(frame);
  }

  #receiveTransfer(frame: TransferFrame): void {
    const {peer, log} = this.#options;
    const handle = this.#transferHandlers[frame.kind] as (
      frame: TransferFrame,
    ) => void;
    try {
      handle(frame);
    } catch (err) {
      log.belief('peer-frame-invalid', {peer: peer.id, reason: reasonOf(err)});
      this.#socket?.terminate();
    }
  }

  #receiveRecords({records}: FingerprintsFrame): void {
    const {peer, log, onFingerprints} = this.#options;
    const result = fingerprintRecordsSchema.safeParse(records);
    if (result.success) return onFingerprints(result.data);
    const reason = reasonOf(result.error);
    log.belief('peer-frame-invalid', {peer: peer.id, reason});
  }

  #updateLoad(load: GateLoad): void {
    const backend = this.#status?.backend;
    if (!this.#status || !backend) return;
    const {turnWaitMs} = load;
    const updated = {...backend, ...load, turnWaitMs};
    this.#status = {...this.#status, backend: updated};
    this.#loadAtMs = performance.now();
  }

  #decode(bytes: Buffer): ResponseFrame | undefined {
    const {peer, log} = this.#options;
    try {
      return decodeFrame<ResponseFrame>(bytes, peer.id);
    } catch (err) {
      log.belief('peer-frame-invalid', {peer: peer.id, reason: reasonOf(err)});
      this.#socket?.terminate();
      return undefined;
    }
  }

  #failPendingReplies(): void {
    const handlers = [...this.#replyHandlers.values()];
    this.#replyHandlers.clear();
    handlers.forEach(handler => handler(undefined));
  }

  /** `onSent` is called when the frame was written, or never will be. */
  #send(frame: RequestFrame, onSent: () => void = () => undefined): void {
    if (this.#socket?.readyState !== WebSocket.OPEN) return onSent();
    this.#socket.send(encodeFrame(frame), onSent);
  }
}

/** A delay that grows with the number of attempts, in part random. */
function growingDelayMs(
  attempts: number,
  {factor, maxMs}: {readonly factor: number; readonly maxMs: number},
): number {
  const growth = factor ** Math.max(0, attempts - 1);
  const delayMs = Math.min(maxMs, RECONNECT_MIN_MS * growth);
  return delayMs * (1 - RECONNECT_JITTER_RATIO * Math.random());
}

function isTransferFrame(frame: ResponseFrame): frame is TransferFrame {
  return TRANSFER_KINDS.has(frame.kind);
}

function isPowerOfTwo(count: number): boolean {
  return Number.isInteger(Math.log2(count));
}
