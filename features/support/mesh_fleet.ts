/**
 * A mesh fleet inside the test process: real daemons that talk over loopback
 * at ports given by the system, and backend servers whose behaviour the steps
 * choose. It needs no store: configurations are handed over directly.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {Writable} from 'node:stream';
import {parseLog} from '../../src/commands/explain.js';
import {listen} from '../../src/http/listener.js';
import type {DecisionLog, LogFields} from '../../src/log/decision_log.js';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import {MeshDaemon} from '../../src/mesh/mesh_daemon.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import type {FleetConfiguration, Route} from '../../src/mesh/model.js';
import {HeldReader} from './held_reader.js';

/** How a backend server treats requests. */
export type Behaviour = (req: IncomingMessage, res: ServerResponse) => void;

/** A backend server and what it has seen. */
export class MeshBackend {
  readonly seen: string[] = [];
  readonly running = new Set<string>();
  behaviour: keyof typeof BEHAVIOURS = 'answers';
  readonly #server = createServer((req, res) => this.#serve(req, res));

  start(): Promise<string> {
    return listen(this.#server, ANY_PORT, 'backend server');
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers[NAMES.requestId]);
    this.seen.push(id);
    this.running.add(id);
    res.on('close', () => this.running.delete(id));
    res.setHeader(NAMES.requestId, id);
    res.setHeader(NAMES.signature, 'signed');
    BEHAVIOURS[this.behaviour](req, res);
  }
}

/** Milliseconds that a slow answer takes, far over the usual. */
const SLOW_MS = 600;

export const BEHAVIOURS = {
  answers: (_, res) => res.end('done'),
  'answers slowly': (_, res) => setTimeout(() => res.end('done'), SLOW_MS),
  hangs: () => undefined,
  'breaks off': (_, res) => res.destroy(),
  'cuts answers short': (_, res) => {
    res.writeHead(200, {'content-length': 100});
    res.write('half');
    setTimeout(() => res.destroy(), 10);
  },
  'resets an answer without length': (_, res) => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
    res.write('half');
    setTimeout(() => res.socket?.resetAndDestroy(), 10);
  },
  'resets an answer without length at once': (_, res) => {
    const {socket} = res;
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
    res.write('half');
    // While this process is busy, both reach the reader's side together.
    setImmediate(() => {
      socket?.resetAndDestroy();
      const untilMs = performance.now() + 20;
      while (performance.now() < untilMs);
    });
  },
  'sends an answer without length': (_, res) => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
    res.end('whole');
  },
  'sends surplus bytes': (_, res) => {
    res.writeHead(200, {'content-length': 4});
    res.end('done');
    res.socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
  },
  "answers with another request's id": (_, res) => {
    res.setHeader(NAMES.requestId, 'foreign');
    res.end('done');
  },
  'answers without signature': (_, res) => {
    res.removeHeader(NAMES.signature);
    res.end('done');
  },
  fails: (_, res) => res.writeHead(500).end('failed'),
  'turns requests away': (_, res) => {
    res.setHeader(NAMES.notExecuted, '1');
    res.writeHead(503).end();
  },
  'sends a head without end': (_, res) => {
    const {socket} = res;
    socket?.write('HTTP/1.1 200 OK\r\n');
    if (socket) sendWithoutEnd(socket, `x-more: ${'x'.repeat(1000)}\r\n`);
  },
  'sends interim answers without end': (_, res) => {
    const {socket} = res;
    if (socket) sendWithoutEnd(socket, 'HTTP/1.1 102 Processing\r\n\r\n');
  },
  'sends a body without end': (_, res) => {
    res.writeHead(200);
    sendWithoutEnd(res, 'x'.repeat(64 * 1024));
  },
  'answers 503 after running': (_, res) => res.writeHead(503).end(),
} as const satisfies Readonly<Record<string, Behaviour>>;

/** Sends a piece again and again until the other side closes. */
function sendWithoutEnd(out: Writable, piece: string): void {
  const send = () => {
    if (!out.destroyed) out.write(piece, () => setImmediate(send));
  };
  out.on('error', () => undefined);
  send();
}

/** A line that a daemon of the fleet wrote. */
export interface WrittenLine extends LogFields {
  readonly event: string;
}

/** The system gives the port. */
const ANY_PORT = '127.0.0.1:0';

/** One daemon with its backend server. */
export interface MeshVm {
  readonly id: string;
  readonly callers: string;
  readonly daemon: MeshDaemon;
  readonly backend: MeshBackend;
}

const ROUTE_DEFAULTS = {
  host: 'app.example',
  timeoutMs: 1500,
  objectiveMs: 400,
  priority: 1,
  maxAttempts: 2,
  isPublic: false,
} as const;

/** Builds a route for tests; what isn't said stays at a default. */
export function testRoute(
  route: Pick<Route, 'name' | 'prefix' | 'isIdempotent' | 'targets'> &
    Partial<Route>,
): Route {
  return {...ROUTE_DEFAULTS, ...route};
}

/** The fleet of one scenario. */
export class MeshFleet {
  readonly vms: MeshVm[] = [];
  readonly lines: WrittenLine[] = [];
  #heldReader: HeldReader | undefined;

  /** Starts daemons `a`, `b` … with one backend server of a service each. */
  async start(services: readonly string[], slots: number): Promise<void> {
    for (const [index, service] of services.entries()) {
      const log = this.#log();
      this.vms.push(await startVm({id: `vm-${index}`, service, slots, log}));
    }
    const all = this.vms.map(({daemon}) => daemon.self);
    this.vms.forEach(({daemon}) => daemon.peers.applyList(all));
    const isComplete = () =>
      this.vms.every(({daemon}) => {
        const links = daemon.peers.links;
        const heard = links.filter(link => link.status?.backend);
        return heard.length === this.vms.length - 1;
      });
    while (!isComplete()) await new Promise(resolve => setTimeout(resolve, 10));
  }

  configure(configuration: FleetConfiguration): void {
    this.vms.forEach(({daemon}) => daemon.keeper.offer(configuration, 'test'));
  }

  /** From now on lines wait as they do for a reader that takes nothing. */
  holdLines(): void {
    this.#heldReader = new HeldReader();
  }

  /** Reads the lines that waited. */
  readHeldLines(): void {
    const text = this.#heldReader?.read() ?? '';
    this.lines.push(...(parseLog(text) as readonly WrittenLine[]));
  }

  vm(index: number): MeshVm {
    const vm = this.vms[index];
    if (!vm) throw new Error(`no VM ${index}`);
    return vm;
  }

  async stop(): Promise<void> {
    this.vms.forEach(({backend}) => backend.stop());
    await Promise.all(this.vms.map(({daemon}) => daemon.halt()));
  }

  #log(): DecisionLog {
    const note = (kind: keyof DecisionLog) => {
      return (event: string, fields: LogFields) => {
        if (this.#heldReader) this.#heldReader.log[kind](event, fields);
        else this.lines.push({...fields, event});
      };
    };
    return {
      step: note('step'),
      failure: note('failure'),
      belief: note('belief'),
    };
  }
}

async function startVm({
  id,
  service,
  slots,
  log,
}: {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly log: DecisionLog;
}): Promise<MeshVm> {
  const backend = new MeshBackend();
  const address = await backend.start();
  const daemon = new MeshDaemon({
    settings: {
      vm: {id, failureDomain: 'test'},
      listen: {
        callers: ANY_PORT,
        readiness: ANY_PORT,
        announcements: ANY_PORT,
        peers: ANY_PORT,
        metrics: ANY_PORT,
      },
      backend: {address, service},
      store: {address: '127.0.0.1:9'},
      isFirstStart: true,
      stopTimeoutS: 3,
      repeats: {ratio: 0.2, windowS: 10, slack: 60},
    },
    names: NAMES,
    log,
    metrics: new MeshMetrics(),
  });
  const callers = await daemon.start();
  daemon.gate.applyHeartbeat({
    instance: `instance-${id}`,
    service,
    state: 'ready',
    slots,
    coldForMs: 0,
    startedAtUnixMs: 1000,
    sequence: 1,
  });
  return {id, callers, daemon, backend};
}
