/**
 * Peers that speak in single frames: a router that does what a test tells it,
 * and a gate as daemons had it before bodies were sent in parts.
 */
import {once} from 'node:events';
import {WebSocket, WebSocketServer} from 'ws';
import type {SlotRequest, Work} from '../../src/mesh/gate/work.js';
import type {VmStatus} from '../../src/mesh/model.js';
import {
  decodeFrame,
  encodeFrame,
  PEER_PATH,
  type RequestFrame,
  type ResponseFrame,
} from '../../src/mesh/peers/frames.js';
import {until} from './fleet.js';

/** Beyond the time after which a daemon gives up a transfer. */
const REPLY_TIMEOUT_MS = 8000;
const RUN_ID = 1;
const DEADLINE_MS = 5000;

/** A connection to a gate, on which a test sends single frames. */
export class RawRouter {
  readonly received: ResponseFrame[] = [];
  readonly #socket: WebSocket;

  private constructor(socket: WebSocket) {
    this.#socket = socket;
    socket.on('message', (bytes: Buffer) =>
      this.received.push(decodeFrame<ResponseFrame>(bytes, 'gate')),
    );
  }

  static async connect(address: string): Promise<RawRouter> {
    const socket = new WebSocket(`ws://${address}${PEER_PATH}`);
    const router = new RawRouter(socket);
    await once(socket, 'open');
    return router;
  }

  get isClosed(): boolean {
    return this.#socket.readyState === WebSocket.CLOSED;
  }

  send(frame: RequestFrame): void {
    this.#socket.send(encodeFrame(frame));
  }

  /** Reserves a slot. */
  async reserve(service: string): Promise<void> {
    const slot: SlotRequest = {
      requestId: 'raw-1',
      service,
      route: 'once',
      priority: 1,
      objectiveMs: 400,
      leftMs: 0,
      assurance: 'trusted',
    };
    this.send({kind: 'reserve', id: RUN_ID, slot});
    await this.waitFor('reserved');
  }

  /** The request of the reservation. */
  workOf(body: Buffer): Work {
    return {
      requestId: 'raw-1',
      method: 'POST',
      path: '/once/1',
      headers: ['host', 'app.example', 'X-Request-Id', 'raw-1'],
      body,
      leftMs: DEADLINE_MS,
      isRepeat: false,
    };
  }

  async waitFor(kind: ResponseFrame['kind']): Promise<ResponseFrame> {
    const find = () => this.received.find(frame => frame.kind === kind);
    await until(kind, () => find() !== undefined, REPLY_TIMEOUT_MS);
    return find() as ResponseFrame;
  }

  close(): void {
    this.#socket.terminate();
  }
}

/** What a gate does with the frames that a request consists of. */
export interface RawGateOptions {
  readonly status: VmStatus;
  /** Whether it takes bodies in parts, and then closes within each body. */
  readonly closesWithinBodies: boolean;
}

/** A gate that grants each reservation. */
export class RawGate {
  readonly received: RequestFrame[] = [];
  readonly #server: WebSocketServer;

  private constructor(server: WebSocketServer, options: RawGateOptions) {
    this.#server = server;
    server.on('connection', socket => {
      const send = (frame: ResponseFrame) => socket.send(encodeFrame(frame));
      send({kind: 'status', status: options.status});
      if (options.closesWithinBodies) send({kind: 'takes-parts'});
      socket.on('message', (bytes: Buffer) => {
        const frame = decodeFrame<RequestFrame>(bytes, 'router');
        this.received.push(frame);
        if (frame.kind === 'body-part') return socket.terminate();
        answer(frame, options.status, send);
      });
    });
  }

  static async start(options: RawGateOptions): Promise<RawGate> {
    const server = new WebSocketServer({port: 0, host: '127.0.0.1'});
    await once(server, 'listening');
    return new RawGate(server, options);
  }

  get address(): string {
    const address = this.#server.address();
    if (typeof address !== 'object') throw new Error('not listening');
    return `127.0.0.1:${address?.port}`;
  }

  stop(): void {
    this.#server.clients.forEach(socket => socket.terminate());
    this.#server.close();
  }
}

/** Replies to a frame as a gate whose instance is idle. */
function answer(
  frame: RequestFrame,
  {backend}: VmStatus,
  send: (frame: ResponseFrame) => void,
): void {
  const {instance = ''} = backend ?? {};
  const load = {running: 0, waiting: 0, trust: 'clear'} as const;
  if (frame.kind === 'reserve') {
    const {id} = frame;
    send({kind: 'reserved', id, instance, lateAfterMs: 1000, load});
  }
  if (frame.kind === 'run-parts') send({kind: 'body-accept', id: frame.id});
  if (frame.kind === 'run') {
    const body = Buffer.from('done');
    const answered = {kind: 'answered', instance, status: 200} as const;
    const outcome = {...answered, headers: [], body};
    send({kind: 'outcome', id: frame.id, outcome, load});
  }
}
