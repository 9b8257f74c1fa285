/**
 * Accepts the connections of other daemons: their routers use this VM's gate
 * and limits over them. One task for each connection; when it ends, what the
 * other side still waited for is cancelled.
 */
import {createServer, type Server} from 'node:http';
import {WebSocket, WebSocketServer} from 'ws';
import {reasonOf} from '../../errors/failure.js';
import {listen} from '../../http/listener.js';
import type {DecisionLog} from '../../log/decision_log.js';
import type {GateClient, Reservation} from '../gate/work.js';
import type {RepeatBudget} from '../limits/repeat_budget.js';
import type {SharedLimits} from '../limits/shared_limits.js';
import type {
  BackendStatus,
  FleetConfiguration,
  Vm,
  VmStatus,
} from '../model.js';
import {
  decodeFrame,
  encodeFrame,
  isSameButLoad,
  PEER_PATH,
  type Load,
  type Request,
  type Response,
} from './frames.js';

/** What the server is made from. */
export interface PeerServerOptions {
  /** `IP:PORT` to listen at. */
  readonly address: string;
  readonly gate: GateClient & {readonly status: BackendStatus | undefined};
  readonly log: DecisionLog;
  readonly rates: Pick<SharedLimits, 'grant' | 'parts'>;
  readonly repeats: Pick<RepeatBudget, 'grant' | 'receivePayment'>;
  readonly status: () => VmStatus;
  readonly configuration: () => FleetConfiguration | undefined;
  readonly onHello: (vm: Vm) => void;
}

/** Larger than any body that callers may send. */
const MAX_FRAME_BYTES = 16 * 1024 * 1024;
/**
 * Shows that the daemon lives, and what changes little by little. Cuts are
 * found sooner by requests that are not acknowledged; a full mesh of more
 * frequent messages costs more than it finds.
 */
const STATUS_INTERVAL_MS = 2500;
/** Changes within this time are told together. */
const GATHER_MS = 10;

const WITHDRAWN = new Error('withdrawn by the router');

/** The listener for peers. */
export class PeerServer {
  readonly #options: PeerServerOptions;
  readonly #http: Server = createServer();
  readonly #server = new WebSocketServer({
    server: this.#http,
    path: PEER_PATH,
    maxPayload: MAX_FRAME_BYTES,
    perMessageDeflate: false,
  });
  #interval: NodeJS.Timeout | undefined;
  #pending: NodeJS.Timeout | undefined;
  /** What all connections know; a new one is told the status at once. */
  #told: VmStatus | undefined;

  constructor(options: PeerServerOptions) {
    this.#options = options;
  }

  async start(): Promise<string> {
    this.#server.on('connection', socket => {
      new PeerSession(socket, this.#options).start();
      // It may have come between two changes that the others never saw.
      this.#told = undefined;
    });
    const bound = await listen(this.#http, this.#options.address, 'peers');
    this.#interval = setInterval(() => this.#tell(), STATUS_INTERVAL_MS);
    return bound;
  }

  /** Tells all peers soon that the status has changed. */
  statusChanged(): void {
    if (this.#pending) return;
    this.#pending = setTimeout(() => {
      this.#pending = undefined;
      this.#tell();
    }, GATHER_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.#interval);
    clearTimeout(this.#pending);
    this.#server.clients.forEach(socket => socket.terminate());
    await new Promise(resolve => this.#server.close(resolve));
    this.#http.close();
  }

  /** The whole status if more than the load has changed since the last time. */
  #news(): Buffer {
    const status = this.#options.status();
    const {backend} = status;
    const isLoadOnly = backend && isSameButLoad(this.#told, status);
    this.#told = status;
    if (isLoadOnly) return encodeFrame({kind: 'load', load: backend});
    return encodeFrame({kind: 'status', status});
  }

  #tell(): void {
    const bytes = this.#news();
    [...this.#server.clients]
      .filter(socket => socket.readyState === WebSocket.OPEN)
      .forEach(socket => socket.send(bytes));
  }
}

/** One reservation of the other side, until it has run or is withdrawn. */
interface Held {
  readonly abort: AbortController;
  reservation?: Reservation;
}

type Handlers = {
  readonly [Kind in Request['kind']]: (
    frame: Extract<Request, {readonly kind: Kind}>,
  ) => void;
};

/** The connection of one peer. */
class PeerSession {
  readonly #socket: WebSocket;
  readonly #options: PeerServerOptions;
  readonly #held = new Map<number, Held>();
  #peer = 'unknown';

  readonly #handlers: Handlers = {
    hello: ({vm}) => {
      this.#peer = vm.id;
      this.#options.onHello(vm);
    },
    reserve: frame => void this.#reserve(frame.id, frame),
    withdraw: ({id}) => {
      const held = this.#held.get(id);
      this.#held.delete(id);
      held?.abort.abort(WITHDRAWN);
      held?.reservation?.release();
    },
    run: frame => void this.#run(frame),
    share: ({id, ask}) => {
      this.#send({kind: 'share', id, share: this.#options.rates.grant(ask)});
    },
    repeat: ({id, payment}) => {
      const isGranted = this.#options.repeats.grant(payment);
      this.#send({kind: 'repeat', id, isGranted});
    },
    part: ({payment}) => this.#options.rates.parts.receivePayment(payment),
    payment: ({payment}) => this.#options.repeats.receivePayment(payment),
    configuration: ({id}) => {
      const configuration = this.#options.configuration();
      this.#send({kind: 'configuration', id, configuration});
    },
  };

  constructor(socket: WebSocket, options: PeerServerOptions) {
    this.#socket = socket;
    this.#options = options;
  }

  start(): void {
    this.#socket.on('message', (bytes: Buffer) => this.#receive(bytes));
    this.#socket.on('error', err => {
      const reason = reasonOf(err);
      this.#options.log.belief('peer-session-failed', {
        peer: this.#peer,
        reason,
      });
    });
    this.#socket.on('close', () => this.#end());
    this.#send({kind: 'status', status: this.#options.status()});
  }

  #receive(bytes: Buffer): void {
    try {
      const frame = decodeFrame<Request>(bytes, this.#peer);
      const handle = this.#handlers[frame.kind] as (frame: Request) => void;
      handle(frame);
    } catch (err) {
      const reason = reasonOf(err);
      const {log} = this.#options;
      log.belief('peer-frame-invalid', {peer: this.#peer, reason});
      this.#socket.terminate();
    }
  }

  async #reserve(
    id: number,
    frame: Extract<Request, {readonly kind: 'reserve'}>,
  ): Promise<void> {
    const held: Held = {abort: new AbortController()};
    this.#held.set(id, held);
    let isSettled = false;
    setImmediate(() => {
      if (!isSettled) this.#send({kind: 'queued', id});
    });
    const result = await this.#options.gate.reserve(
      frame.slot,
      held.abort.signal,
    );
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

  async #run(frame: Extract<Request, {readonly kind: 'run'}>): Promise<void> {
    const {id, work} = frame;
    const held = this.#held.get(id);
    if (!held?.reservation) {
      const reason = 'no such reservation';
      const outcome = {
        kind: 'not-run',
        instance: '',
        reason,
        hasArrived: false,
      } as const;
      this.#send({kind: 'outcome', id, outcome, load: this.#load});
      return;
    }
    const {reservation, abort} = held;
    const outcome = await reservation.run(work, abort.signal);
    this.#held.delete(id);
    this.#send({kind: 'outcome', id, outcome, load: this.#load});
  }

  get #load(): Load {
    const {status} = this.#options.gate;
    const {running = 0, waiting = 0, trust = 'clear'} = status ?? {};
    return {running, waiting, trust};
  }

  #end(): void {
    const held = [...this.#held.values()];
    this.#held.clear();
    held.forEach(({abort, reservation}) => {
      abort.abort(WITHDRAWN);
      reservation?.release();
    });
  }

  #send(frame: Response): void {
    if (this.#socket.readyState !== WebSocket.OPEN) return;
    this.#socket.send(encodeFrame(frame));
  }
}
