/**
 * A stand-in for an instance on the platform: sends heartbeats to the daemon of
 * its VM, and works on one request in each slot. It rejects what finds no slot,
 * and says so.
 */
import {
  createServer,
  request,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {listen} from '../../src/http/listener.js';

/** Options of {@link PlatformInstance}. */
export interface PlatformInstanceOptions {
  readonly id: string;
  readonly service: string;
  /** `IP:PORT` to listen on. */
  readonly address: string;
  /** `IP:PORT` that heartbeats are sent to. */
  readonly announcements: string;
  readonly slots: number;
  /** How long a request takes. */
  readonly workMs: number;
}

const HEARTBEAT_INTERVAL_MS = 1500;
const HEARTBEAT_TIMEOUT_MS = 1000;

/** One instance. */
export class PlatformInstance {
  readonly #options: PlatformInstanceOptions;
  readonly #startedAtUnixMs = Date.now();
  readonly #server = createServer((req, res) => this.#serve(req, res));
  #sequence = 0;
  #running = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PlatformInstanceOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    await listen(this.#server, this.#options.address, 'instance');
    // Instances that start together send at different times.
    setTimeout(() => {
      this.#sendHeartbeat();
      this.#timer = setInterval(
        () => this.#sendHeartbeat(),
        HEARTBEAT_INTERVAL_MS,
      );
    }, Math.random() * HEARTBEAT_INTERVAL_MS);
  }

  /** Ends at once, as a crash does: the daemon gets no notice. */
  stop(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #sendHeartbeat(): void {
    const {id, service, slots, announcements, address} = this.#options;
    const [host, port] = announcements.split(':');
    this.#sequence += 1;
    const req = request({
      host,
      port,
      method: 'POST',
      path: `/Instances.Heartbeat/${id}`,
      headers: {'content-type': 'application/json'},
      agent: false,
      timeout: HEARTBEAT_TIMEOUT_MS,
    });
    req.on('response', res => res.resume());
    req.on('timeout', () => req.destroy());
    // The daemon is down; the next heartbeat comes soon.
    req.on('error', () => undefined);
    req.end(
      JSON.stringify({
        Service: service,
        Address: address,
        Zone: 'zone',
        Version: 'v1',
        Concurrency: slots,
        State: 'ready',
        WarmupLeftMs: 0,
        Sequence: this.#sequence,
        born: this.#startedAtUnixMs,
      }),
    );
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const {id, slots, workMs} = this.#options;
    req.resume();
    res.setHeader(NAMES.instance, id);
    res.setHeader(NAMES.load, `${this.#running},0,${slots}`);
    if (req.url === '/health') return void res.end();
    const requestId = String(req.headers[NAMES.requestId]);
    res.setHeader(NAMES.requestId, requestId);
    if (this.#running >= slots) {
      res.setHeader(NAMES.notExecuted, '1');
      return void res.writeHead(503).end();
    }
    this.#running += 1;
    res.on('close', () => (this.#running -= 1));
    setTimeout(() => {
      res.setHeader(NAMES.signature, 'signed');
      res.end('done');
    }, workMs);
  }
}
