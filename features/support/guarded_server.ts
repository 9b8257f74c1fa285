/**
 * An HTTP server under the guards for callers, without the rest of a daemon:
 * it reads each body under a budget and responds with what became of it.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {connect, type Socket} from 'node:net';
import {createCallerServer} from '../../src/http/caller_server.js';
import {
  ConnectionGuard,
  type GuardReason,
} from '../../src/http/connection_guard.js';
import {listen} from '../../src/http/listener.js';
import {ReadMeter} from '../../src/http/read_meter.js';
import {MemoryBudget} from '../../src/mesh/limits/memory_budget.js';
import {
  BodyReader,
  type ReadResult,
} from '../../src/mesh/router/body_reader.js';

const MAX_HEADER_BYTES = 16_384;
const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Response time of the path `/slow`. */
const SLOW_MS = 1500;

/** Bounds of a {@link GuardedServer}. */
export interface GuardedServerOptions {
  readonly budgetBytes: number;
  readonly stallMs: number;
  readonly maxConnections: number;
  readonly maxUnfinished: number;
  /** Whether it responds to CONNECT, as only the listener for callers does. */
  readonly refusesConnect: boolean;
}

/** One server with its guard and budget. */
export class GuardedServer {
  readonly budget: MemoryBudget;
  readonly guard: ConnectionGuard;
  readonly bodies: BodyReader;
  readonly closes: GuardReason[] = [];
  /** A request to the path `/late`, whose body the steps read. */
  held: IncomingMessage | undefined;
  readonly #server: Server;
  #address = '';

  constructor(options: GuardedServerOptions) {
    const {budgetBytes, stallMs, maxConnections, maxUnfinished} = options;
    this.budget = new MemoryBudget(budgetBytes);
    this.#server = createCallerServer(MAX_HEADER_BYTES);
    if (!options.refusesConnect) this.#server.removeAllListeners('connect');
    this.guard = new ConnectionGuard(this.#server, {
      meter: new ReadMeter(),
      maxConnections,
      maxUnfinished,
      progress: {stallMs, minBytesPerS: 1024, rateWindowMs: 10_000},
      onClose: reason => this.closes.push(reason),
    });
    this.bodies = new BodyReader({
      budget: this.budget,
      guard: this.guard,
      responses: {displaceOne: () => false},
    });
    this.#server.on('request', (req, res) => void this.#serve(req, res));
  }

  async start(): Promise<void> {
    this.#address = await listen(this.#server, '127.0.0.1:0', 'guarded');
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  connect(allowHalfOpen: boolean): RawConnection {
    return new RawConnection(this.#address, allowHalfOpen);
  }

  read(req: IncomingMessage): Promise<ReadResult> {
    return this.bodies.read(req, MAX_BODY_BYTES);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    if (req.url === '/late') {
      this.held = req;
      return;
    }
    const result = await this.read(req);
    if (result.kind !== 'whole') {
      res.setHeader('connection', 'close');
      this.guard.connectionOf(req)?.closeAfterResponse();
      return void res.end(result.kind);
    }
    res.on('close', () => result.grant?.release());
    setTimeout(() => res.end('whole'), req.url === '/slow' ? SLOW_MS : 0);
  }
}

/** A caller that writes what the steps say. */
export class RawConnection {
  text = '';
  isClosed = false;
  /** The server has ended its side; this side stays open until it is closed. */
  hasEnded = false;
  readonly #socket: Socket;

  constructor(address: string, allowHalfOpen: boolean) {
    const [host, port] = address.split(':');
    this.#socket = connect({port: Number(port), host, allowHalfOpen});
    this.#socket.on('data', data => (this.text += String(data)));
    this.#socket.on('end', () => (this.hasEnded = true));
    this.#socket.on('error', () => this.#socket.destroy());
    this.#socket.on('close', () => (this.isClosed = true));
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  end(): void {
    this.#socket.destroy();
  }
}
