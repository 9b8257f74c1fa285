/**
 * A stand-in for an application instance, written from the published protocol.
 * It runs requests, answers health checks, and sends heartbeats to the daemon
 * on its machine.
 */
import {
  createServer,
  request,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {listen} from './listen.js';
import type {Record} from './record.js';

export interface InstanceOptions {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly record: Record;
  /** How long a request takes. */
  readonly workMs: number | ((id: string) => number);
  /** Spoils the answer to the nth run, if it returns bytes to send instead. */
  readonly spoil?: (run: number) => string | undefined;
}

/** One run of a request. */
export interface Run {
  readonly id: string;
  readonly tenant: string | undefined;
  readonly atMs: number;
}

const HEARTBEAT_INTERVAL_MS = 1500;
const SLOTS = 3;

export class Instance {
  readonly runs: Run[] = [];
  readonly #options: InstanceOptions;
  readonly #born = Date.now();
  readonly #server = createServer((req, res) => void this.#serve(req, res));
  #address = '';
  #control = '';
  #sequence = 0;
  #isLeaving = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: InstanceOptions) {
    this.#options = options;
  }

  get id(): string {
    return this.#options.id;
  }

  async start(): Promise<string> {
    this.#address = await listen(this.#server);
    return this.#address;
  }

  /** Sends heartbeats to the daemon's address for them from now on. */
  announceTo(control: string): void {
    this.#control = control;
    const beat = () => void this.#post(this.nextHeartbeat());
    beat();
    this.#timer = setInterval(beat, HEARTBEAT_INTERVAL_MS);
  }

  stopHeartbeats(): void {
    clearInterval(this.#timer);
  }

  /** The next heartbeat; whoever takes it delivers it. */
  nextHeartbeat(): string {
    this.#sequence += 1;
    const {service, zone} = this.#options;
    return JSON.stringify({
      Service: service,
      Address: this.#address,
      Zone: zone,
      Version: 'v1',
      Concurrency: SLOTS,
      State: this.#isLeaving ? 'draining' : 'ready',
      WarmupLeftMs: 0,
      Sequence: this.#sequence,
      born: this.#born,
    });
  }

  /** Delivers a heartbeat; resolves to the status of the response. */
  deliver(heartbeat: string): Promise<number> {
    return this.#post(heartbeat);
  }

  /** Deregisters without a `draining` before; resolves to the status. */
  async deregister(): Promise<number> {
    this.#isLeaving = true;
    clearInterval(this.#timer);
    this.#sequence += 1;
    const {service, zone} = this.#options;
    const body = JSON.stringify({
      Service: service,
      Address: this.#address,
      Zone: zone,
      Sequence: this.#sequence,
      born: this.#born,
    });
    return post(this.#control, `/Instances.Deregister/${this.id}`, body);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #post(heartbeat: string): Promise<number> {
    return post(this.#control, `/Instances.Heartbeat/${this.id}`, heartbeat);
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.on('error', () => undefined);
    res.setHeader('x-instance-id', this.id);
    res.setHeader('x-server-load', `0,0,${SLOTS}`);
    if (this.#isLeaving) res.setHeader('server-leaving', '1');
    if (req.url === '/health') {
      return void res.writeHead(this.#isLeaving ? 503 : 200).end();
    }
    const target = req.headers['x-target-instance'];
    if (target !== undefined && target !== this.id) {
      return void res.writeHead(421).end();
    }
    const id = String(req.headers['x-attempt-id']);
    const tenant = req.headers['x-tenant'];
    const {record, workMs, spoil} = this.#options;
    const atMs = record.nowMs;
    this.runs.push({id, tenant: tenant?.toString(), atMs});
    record.add(`run      ${id} at ${this.id} tenant=${String(tenant)}`);
    req.resume();
    const takesMs = typeof workMs === 'number' ? workMs : workMs(id);
    const spoilt = spoil?.(this.runs.length);
    await new Promise(resolve => setTimeout(resolve, takesMs));
    if (res.destroyed) return;
    if (spoilt !== undefined) {
      record.add(`spoilt   ${id} at ${this.id}`);
      return void req.socket.end(spoilt);
    }
    res.setHeader('x-attempt-id', id);
    res.setHeader('x-server-signature', `signed-${id}`);
    res.end(`done ${id}`);
  }
}

/** Posts JSON; resolves to the status, or 0 without a response. */
function post(to: string, path: string, body: string): Promise<number> {
  const [host, port] = to.split(':');
  const headers = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  const options = {host, port, path, method: 'POST', headers, agent: false};
  return new Promise(resolve => {
    const req = request({...options, timeout: 1000}, res => {
      res.resume();
      res.on('end', () => resolve(res.statusCode ?? 0));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(0));
    req.end(body);
  });
}
