/**
 * A stand-in for an application instance, written from the users' pages. It
 * works on one request in each slot, rejects what finds no slot or names another
 * instance, and says what it is in its heartbeats. A script decides when it
 * leaves, ends and starts again.
 */
import {
  createServer,
  request,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {
  connect,
  createServer as createRelay,
  type AddressInfo,
  type Server,
} from 'node:net';
import type {Recorder} from './recorder.js';

/** Options of {@link Instance}. */
export interface InstanceOptions {
  readonly id: string;
  readonly service: string;
  /** `IP:PORT` to listen on. */
  readonly address: string;
  /** `IP:PORT` that heartbeats are sent to. */
  readonly control: string;
  readonly slots: number;
  readonly workMs: number;
  /** The size of the answer to a request for a path; a few bytes if omitted. */
  readonly answerBytes?: (path: string) => number;
  /** Its own time of day at its start; the system's if omitted. */
  readonly born?: number;
  readonly record: Recorder;
}

/** One request that began to run. */
export interface Run {
  readonly requestId: string;
  readonly instance: string;
  readonly service: string;
  readonly tenant: string | undefined;
  readonly atMs: number;
  /** How it ended; undefined while it runs. */
  end?: 'answered' | 'dropped';
}

const HEARTBEAT_MS = 1500;
const ACK_TIMEOUT_MS = 1000;

/** One incarnation of an instance. */
export class Instance {
  readonly runs: Run[] = [];
  readonly born: number;
  readonly #options: InstanceOptions;
  readonly #server = createServer((req, res) => this.#serve(req, res));
  #sequence = 0;
  #state: 'ready' | 'draining' = 'ready';
  #isLeaving = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: InstanceOptions) {
    this.#options = options;
    this.born = options.born ?? Date.now();
  }

  get id(): string {
    return this.#options.id;
  }

  async start(): Promise<void> {
    const {address, id, record} = this.#options;
    const [host = '', port] = address.split(':');
    await new Promise<void>(resolve => {
      this.#server.listen(Number(port), host, resolve);
    });
    record(`instance ${id} starts, born ${this.born}`);
    void this.beat();
    this.#timer = setInterval(() => void this.beat(), HEARTBEAT_MS);
  }

  /** Answers requests by another server from now on, at the same address. */
  replaceServer(server: Server): void {
    const [host = '', port] = this.#options.address.split(':');
    this.#server.close();
    this.#server.closeAllConnections();
    server.listen(Number(port), host);
  }

  /** Sends a heartbeat now; resolves to the status of its acknowledgement. */
  beat(): Promise<number | undefined> {
    return this.#post('Heartbeat', this.#nextBeat(), this.#options.control);
  }

  /** Sends a heartbeat that arrives only after a delay. */
  async beatLate(delayMs: number): Promise<void> {
    const {record, id, control} = this.#options;
    const beat = this.#nextBeat();
    record(`${id} sends heartbeat ${beat.Sequence} (${beat.State})`);
    const relay = await startSlowPath(control, delayMs);
    const status = await this.#post('Heartbeat', beat, relay.address, Infinity);
    const outcome = status ?? 'not taken';
    record(`heartbeat ${beat.Sequence} (${beat.State}) of ${id}: ${outcome}`);
    relay.close();
  }

  /** Reports that it drains; true if that is acknowledged. */
  async drain(): Promise<boolean> {
    this.#state = 'draining';
    this.#isLeaving = true;
    return (await this.beat()) === 200;
  }

  /** Deregisters first, as instances do that never report `draining`. */
  async deregister(): Promise<boolean> {
    clearInterval(this.#timer);
    this.#isLeaving = true;
    const body = {born: this.born};
    return (
      (await this.#post('Deregister', body, this.#options.control)) === 200
    );
  }

  /** The process ends; requests at work are lost. */
  exit(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
    this.#options.record(`instance ${this.id} ends`);
  }

  #nextBeat() {
    const {service, address, slots} = this.#options;
    this.#sequence += 1;
    return {
      Service: service,
      Address: address,
      Zone: 'zone-a',
      Version: 'v1',
      Concurrency: slots,
      State: this.#state,
      WarmupLeftMs: 0,
      Sequence: this.#sequence,
      born: this.born,
    };
  }

  #post(
    call: 'Heartbeat' | 'Deregister',
    body: unknown,
    address: string,
    timeoutMs = ACK_TIMEOUT_MS,
  ): Promise<number | undefined> {
    const [host, port] = address.split(':');
    return new Promise(resolve => {
      const req = request({
        host,
        port,
        method: 'POST',
        path: `/Instances.${call}/${this.id}`,
        headers: {'content-type': 'application/json'},
        agent: false,
      });
      if (timeoutMs !== Infinity) {
        req.setTimeout(timeoutMs, () => req.destroy());
      }
      req.on('response', res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode));
      });
      req.on('error', () => resolve(undefined));
      req.end(JSON.stringify(body));
    });
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const {id, service, slots, workMs} = this.#options;
    req.resume();
    const running = this.runs.filter(({end}) => end === undefined).length;
    res.setHeader('x-instance-id', id);
    res.setHeader('x-server-load', `${running},0,${slots}`);
    if (this.#isLeaving) res.setHeader('server-leaving', '1');
    if (req.url === '/health') {
      return void res.writeHead(this.#isLeaving ? 503 : 200).end();
    }
    const requestId = String(req.headers['x-attempt-id']);
    res.setHeader('x-attempt-id', requestId);
    const target = req.headers['x-target-instance'];
    if (target !== undefined && target !== id) {
      return void res.writeHead(421).end();
    }
    if (running >= slots) {
      res.setHeader('x-not-executed', '1');
      return void res.writeHead(503).end();
    }
    const tenant = req.headers['x-tenant'];
    const run: Run = {
      requestId,
      instance: id,
      service,
      tenant: tenant === undefined ? undefined : String(tenant),
      atMs: performance.now(),
    };
    this.runs.push(run);
    res.on('close', () => {
      run.end = res.writableFinished ? 'answered' : 'dropped';
    });
    setTimeout(() => {
      if (res.destroyed) return;
      res.setHeader('x-server-signature', `sig.${id}.${requestId}`);
      const bytes = this.#options.answerBytes?.(req.url ?? '') ?? 0;
      res.end(bytes > 0 ? Buffer.alloc(bytes, 'a') : `run by ${service}`);
    }, workMs);
  }
}

/** A path to an address that takes `delayMs` until it connects. */
async function startSlowPath(
  target: string,
  delayMs: number,
): Promise<{readonly address: string; readonly close: () => void}> {
  const [host, port] = target.split(':');
  const server = createRelay(near => {
    near.on('error', () => undefined);
    setTimeout(() => {
      const far = connect(Number(port), host);
      far.on('error', () => near.destroy());
      near.pipe(far);
      far.pipe(near);
    }, delayMs);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port: ownPort} = server.address() as AddressInfo;
  return {address: `127.0.0.1:${ownPort}`, close: () => server.close()};
}
