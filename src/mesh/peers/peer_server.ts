/**
 * Accepts the connections of other daemons, whose routers use this VM's gate
 * and limits over them. Each connection has its own session. When the
 * connection ends, everything that the peer was still waiting for is cancelled.
 */
import type {IncomingMessage, Server} from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {reasonOf} from '../../errors/failure.js';
import {listen} from '../../http/listener.js';
import {StrictServer} from '../../http/strict_server.js';
import type {DecisionLog} from '../../log/decision_log.js';
import type {GateClient, Reservation, SlotRequest} from '../gate/work.js';
import type {RepeatBudget, RepeatPayment} from '../limits/repeat_budget.js';
import type {SharedLimits} from '../limits/shared_limits.js';
import type {FingerprintRecord} from '../router/query_of_death.js';
import type {
  BackendStatus,
  FleetConfiguration,
  Vm,
  VmStatus,
} from '../model.js';
import {
  decodeFrame,
  encodeFrame,
  isEqualExceptLoad,
  isMeantFor,
  MAX_FRAME_BYTES,
  MISDIRECTED_STATUS,
  PEER_PATH,
  type GateLoad,
  type RequestFrame,
  type ResponseFrame,
} from './frames.js';
import {customerSchema} from './customer_schema.js';
import type {TransferMemory} from './peer_runs.js';
import {SessionRuns, type HeldReservation} from './session_runs.js';
import {vmSchema} from './vm_schema.js';

/** Options of {@link PeerServer}. */
export interface PeerServerOptions {
  readonly vmId: string;
  /** `IP:PORT` to listen on. */
  readonly address: string;
  readonly gate: GateClient & {readonly status: BackendStatus | undefined};
  /** For large bodies and responses. */
  readonly memory: TransferMemory;
  readonly log: DecisionLog;
  readonly rates: Pick<SharedLimits, 'grant' | 'parts'>;
  readonly repeats: Pick<RepeatBudget, 'grant' | 'receivePayment'>;
  readonly status: () => VmStatus;
  /** What a daemon that connects should know about fingerprints. */
  readonly fingerprints: () => readonly FingerprintRecord[];
  readonly configuration: () => FleetConfiguration | undefined;
  /** The evacuated failure domains, if they are known. */
  readonly evacuated: () => readonly string[] | undefined;
  readonly onHello: (vm: Vm) => void;
}

/**
 * The status is a heartbeat, and reports what changes gradually. Network
 * partitions are found sooner by requests that are not acknowledged; more
 * frequent messages in a full mesh would cost more than they help to detect.
 */
const STATUS_INTERVAL_MS = 2500;
/** Changes within this time are sent together. */
const STATUS_BATCH_MS = 10;

const WITHDRAWN = new Error('withdrawn by the router');

/** The listener for peers. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #http: Server = new StrictServer();
  readonly #server: WebSocketServer;
  #statusInterval: NodeJS.Timeout | undefined;
  #broadcastTimer: NodeJS.Timeout | undefined;
  /** The last status sent to all connections; unset after a new connection. */
  #lastBroadcast: VmStatus | undefined;

  constructor(options: PeerServerOptions) {
    this.#options = options;
    this.#server = new WebSocketServer({
      server: this.#http,
      path: PEER_PATH,
      maxPayload: MAX_FRAME_BYTES,
      perMessageDeflate: false,
      // The address may have been that of another daemon.
      verifyClient: (
        {req}: {readonly req: IncomingMessage},
        verify: (isAccepted: boolean, status?: number) => void,
      ) => verify(isMeantFor(options.vmId, req.url ?? ''), MISDIRECTED_STATUS),
    });
  }

  async start(): Promise<string> {
    this.#server.on('connection', socket => {
      new PeerSession(socket, this.#options).start();
      // The status that it gets first may never have been sent to the others,
      // so the next one goes to all in full.
      this.#lastBroadcast = undefined;
    });
    const {address, log} = this.#options;
    // The WebSocket server repeats the errors of the HTTP server.
    this.#server.on('error', err => {
      log.belief('peer-listener-failed', {reason: reasonOf(err)});
    });
    const bound = await listen(this.#http, address, 'peers', {
      onRetry: retry => log.belief('listen-retried', {...retry}),
    });
    this.#statusInterval = setInterval(
      () => this.#broadcastStatus(),
      STATUS_INTERVAL_MS,
    );
    return bound;
  }

  /** Sends the changed status to all peers soon. */
  scheduleBroadcast(): void {
    if (this.#broadcastTimer) return;
    this.#broadcastTimer = setTimeout(() => {
      this.#broadcastTimer = undefined;
      this.#broadcastStatus();
    }, STATUS_BATCH_MS);
  }

  /** Sends what became known of a fingerprint to all peers. */
  broadcastFingerprint(record: FingerprintRecord): void {
    this.#sendToAll(encodeFrame({kind: 'fingerprints', records: [record]}));
  }

  async stop(): Promise<void> {
    clearInterval(this.#statusInterval);
    clearTimeout(this.#broadcastTimer);
    this.#server.clients.forEach(socket => socket.terminate());
    await new Promise(resolve => this.#server.close(resolve));
    this.#http.close();
  }

  /** The full status if more than the load has changed since the last one. */
  #encodeStatusUpdate(): readonly Buffer[] {
    const status = this.#options.status();
    const {backend} = status;
    const isLoadOnly =
      backend && isEqualExceptLoad(this.#lastBroadcast, status);
    this.#lastBroadcast = status;
    if (isLoadOnly) return [encodeFrame({kind: 'load', load: backend})];
    return statusFrames(status).map(frame => encodeFrame(frame));
  }

  #broadcastStatus(): void {
    this.#encodeStatusUpdate().forEach(bytes => this.#sendToAll(bytes));
  }

  #sendToAll(bytes: Buffer): void {
    [...this.#server.clients]
      .filter(socket => socket.readyState === WebSocket.OPEN)
      .forEach(socket => socket.send(bytes));
  }
}

type Handlers = {
  readonly [Kind in RequestFrame['kind']]: (
    frame: Extract<RequestFrame, {readonly kind: Kind}>,
  ) => void;
};

/** The session on the connection of one peer. */
class PeerSession {
  readonly #socket: WebSocket;
  readonly #options: PeerServerOptions;
  readonly #held = new Map<number, HeldReservation>();
  readonly #runs: SessionRuns;
  #peerId = 'unknown';
  #hasSentInvalidCustomer = false;
  #isFaultLogged = false;

  readonly #handlers: Handlers = {
    hello: frame => {
      const vm = vmSchema.parse(frame.vm);
      this.#peerId = vm.id;
      this.#runs.peerTakesParts = frame.takesParts === true;
      this.#options.onHello(vm);
    },
    reserve: frame => void this.#reserve(frame.id, frame),
    withdraw: ({id}) => {
      const held = this.#held.get(id);
      this.#held.delete(id);
      held?.abort.abort(WITHDRAWN);
      held?.reservation?.release();
      this.#runs.withdraw(id);
    },
    run: ({id, work}) =>
      this.#whenHeld(id, ({abort}, reservation) =>
        this.#runs.run(id, work, reservation, abort.signal),
      ),
    'run-parts': frame =>
      this.#whenHeld(frame.id, held => this.#runs.runInParts(frame, held)),
    'body-accept': ({id}) => this.#runs.accept(id),
    'body-part': ({id, bytes}) => this.#runs.addPart(id, bytes),
    'body-ack': ({id}) => this.#runs.acknowledge(id),
    share: ({id, ask}) => {
      this.#send({kind: 'share', id, share: this.#options.rates.grant(ask)});
    },
    repeat: ({id, payment}) => {
      const isGranted = this.#options.repeats.grant(this.#checked(payment));
      this.#send({kind: 'repeat', id, isGranted});
    },
    part: ({payment}) => this.#options.rates.parts.receivePayment(payment),
    payment: ({payment}) => this.#options.repeats.receivePayment(payment),
    configuration: ({id}) => {
      const configuration = this.#options.configuration();
      const evacuated = this.#options.evacuated();
      const reply = {kind: 'configuration', id, configuration} as const;
      this.#send(evacuated ? {...reply, evacuated} : reply);
    },
  };

  constructor(socket: WebSocket, options: PeerServerOptions) {
    this.#socket = socket;
    this.#options = options;
    const {gate, memory, log} = options;
    this.#runs = new SessionRuns({
      gate,
      memory,
      log,
      peerId: () => this.#peerId,
      load: () => this.#load,
      send: (frame, onSent) => this.#send(frame, onSent),
    });
  }

  start(): void {
    this.#socket.on('message', (bytes: Buffer) => this.#receive(bytes));
    this.#socket.on('error', err => {
      const reason = reasonOf(err);
      this.#options.log.belief('peer-session-failed', {
        peer: this.#peerId,
        reason,
      });
    });
    this.#socket.on('close', () => this.#cancelAll());
    statusFrames(this.#options.status()).forEach(frame => this.#send(frame));
    this.#send({kind: 'takes-parts'});
    const records = this.#options.fingerprints();
    if (records.length > 0) this.#send({kind: 'fingerprints', records});
  }

  #receive(bytes: Buffer): void {
    try {
      const frame = decodeFrame<RequestFrame>(bytes, this.#peerId);
      const handle = this.#handlers[frame.kind] as (
        frame: RequestFrame,
      ) => void;
      handle(frame);
    } catch (err) {
      const reason = reasonOf(err);
      const {log} = this.#options;
      log.belief('peer-frame-invalid', {peer: this.#peerId, reason});
      this.#socket.terminate();
    }
  }

  /** Ignores an invalid number of spare tokens. */
  #checked(payment: RepeatPayment): RepeatPayment {
    const {spareTokens, ...usual} = payment;
    if (spareTokens === undefined || isTokenCount(spareTokens)) return payment;
    const {log} = this.#options;
    const peer = this.#peerId;
    if (!this.#isFaultLogged)
      log.belief('peer-field-invalid', {peer, field: 'spareTokens'});
    this.#isFaultLogged = true;
    return usual;
  }

  async #reserve(
    id: number,
    frame: Extract<RequestFrame, {readonly kind: 'reserve'}>,
  ): Promise<void> {
    const slot = this.#checkCustomer(frame.slot);
    const held: HeldReservation = {slot, abort: new AbortController()};
    this.#held.set(id, held);
    let isSettled = false;
    setImmediate(() => {
      if (!isSettled) this.#send({kind: 'queued', id});
    });
    const {signal} = held.abort;
    const result = await this.#options.gate.reserve(slot, signal);
    isSettled = true;
    if (result.kind === 'declined') {
      this.#held.delete(id);
      this.#send({kind: 'declined', id, why: result, load: this.#load});
      return;
    }
    if (held.abort.signal.aborted) return result.release();
    held.reservation = result;
    const {instance, lateAfterMs} = result;
    this.#send({
      kind: 'reserved',
      id,
      instance,
      lateAfterMs,
      load: this.#load,
    });
  }

  /** Ignores an invalid customer; the request then counts as one without. */
  #checkCustomer(slot: SlotRequest): SlotRequest {
    if (customerSchema.safeParse(slot.customer).success) return slot;
    if (!this.#hasSentInvalidCustomer) {
      this.#hasSentInvalidCustomer = true;
      const {requestId: id} = slot;
      this.#options.log.belief('peer-customer-invalid', {
        peer: this.#peerId,
        id,
      });
    }
    return {...slot, customer: undefined};
  }

  /** Runs a request whose reservation is held until then. */
  #whenHeld(
    id: number,
    run: (held: HeldReservation, reservation: Reservation) => Promise<void>,
  ): void {
    const held = this.#held.get(id);
    const reservation = held?.reservation;
    if (!reservation) return this.#runs.refuse(id, 'no such reservation');
    void run(held, reservation).finally(() => this.#held.delete(id));
  }

  get #load(): GateLoad {
    const {status} = this.#options.gate;
    const {running = 0, waiting = 0, trust = 'clear'} = status ?? {};
    const load = {running, waiting, trust};
    const turnWaitMs = status?.turnWaitMs;
    return turnWaitMs === undefined ? load : {...load, turnWaitMs};
  }

  #cancelAll(): void {
    const held = [...this.#held.values()];
    this.#held.clear();
    held.forEach(({abort, reservation}) => {
      abort.abort(WITHDRAWN);
      reservation?.release();
    });
    this.#runs.end();
  }

  #send(frame: ResponseFrame, onSent: () => void = () => undefined): void {
    if (this.#socket.readyState !== WebSocket.OPEN) return onSent();
    this.#socket.send(encodeFrame(frame), onSent);
  }
}

/** A full status; it has no wait for a turn, which only a load can carry. */
function statusFrames(status: VmStatus): readonly ResponseFrame[] {
  const {backend} = status;
  const frame = {kind: 'status', status} as const;
  if (backend?.turnWaitMs === undefined) return [frame];
  return [frame, {kind: 'load', load: backend}];
}

function isTokenCount(value: unknown): boolean {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
