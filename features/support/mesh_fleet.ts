/**
 * A mesh fleet inside the test process: real daemons that communicate over
 * loopback on ports assigned by the operating system, and backend servers whose
 * behaviour the steps choose. No store is needed, since tests pass the
 * configurations to the daemons directly.
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
import type {CustomerShares} from '../../src/mesh/gate/queue_place.js';
import {MeshDaemon} from '../../src/mesh/mesh_daemon.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import type {FleetConfiguration, Route} from '../../src/mesh/model.js';
import type {MeshSettings} from '../../src/mesh/settings.js';
import {HeldReader} from './held_reader.js';
import {RAW_BEHAVIOURS} from './raw_responses.js';

/** How a backend server handles a request. */
export type Behaviour = (req: IncomingMessage, res: ServerResponse) => void;

/** A backend server that records the requests it received. */
export class MeshBackend {
  readonly seen: string[] = [];
  readonly running = new Set<string>();
  /** Header fields that it adds to every response. */
  readonly notices = new Map<string, string>();
  /** How long each request said that it may take, in milliseconds. */
  readonly deadlinesMs: number[] = [];
  /** Monotonic times at which requests arrived. */
  readonly arrivalsAtMs: number[] = [];
  behaviour: keyof typeof BEHAVIOURS = 'responds';
  /** A request to this path ends the backend server. */
  endsAtPath: string | undefined;
  hasEnded = false;
  readonly #server = createServer((req, res) => this.#serve(req, res));

  start(): Promise<string> {
    return listen(this.#server, ANY_PORT, 'backend server');
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers[NAMES.requestId]);
    this.seen.push(id);
    this.arrivalsAtMs.push(performance.now());
    this.deadlinesMs.push(Number(req.headers[NAMES.deadline]));
    this.running.add(id);
    res.on('close', () => this.running.delete(id));
    res.setHeader(NAMES.requestId, id);
    res.setHeader(NAMES.signature, 'signed');
    if (req.url === this.endsAtPath) {
      this.hasEnded = true;
      return this.stop();
    }
    this.notices.forEach((value, name) => res.setHeader(name, value));
    BEHAVIOURS[this.behaviour](req, res);
  }
}

/** Delay of a slow response, far above the usual response time. */
const SLOW_MS = 600;

export const BEHAVIOURS = {
  ...RAW_BEHAVIOURS,
  responds: (_, res) => res.end('done'),
  'returns the body': (req, res) => req.pipe(res),
  'responds slowly': (_, res) => setTimeout(() => res.end('done'), SLOW_MS),
  hangs: () => undefined,
  'closes the connection': (_, res) => res.destroy(),
  'truncates responses': (_, res) => {
    res.writeHead(200, {'content-length': 100});
    res.write('half');
    setTimeout(() => res.destroy(), 10);
  },
  'resets a response without length': (_, res) => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
    res.write('half');
    setTimeout(() => res.socket?.resetAndDestroy(), 10);
  },
  'resets a response without length immediately': (_, res) => {
    const {socket} = res;
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
    res.write('half');
    // While this process is busy, data and reset reach the daemon together.
    setImmediate(() => {
      socket?.resetAndDestroy();
      const untilMs = performance.now() + 20;
      while (performance.now() < untilMs);
    });
  },
  'sends a response without length': (_, res) => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, {connection: 'close'});
    res.end('whole');
  },
  'sends extra bytes': (_, res) => {
    res.writeHead(200, {'content-length': 4});
    res.end('done');
    res.socket?.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
  },
  "responds with another request's id": (_, res) => {
    res.setHeader(NAMES.requestId, 'foreign');
    res.end('done');
  },
  'responds without signature': (_, res) => {
    res.removeHeader(NAMES.signature);
    res.end('done');
  },
  fails: (_, res) => res.writeHead(500).end('failed'),
  'sends a faulty header field': ({socket}, res) => {
    const id = String(res.getHeader(NAMES.requestId));
    socket.end(
      `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.signature}: signed\r\nX-Bad : 1\r\n` +
        'content-length: 4\r\n\r\ndone',
    );
  },
  'stops within the head of its response': ({socket}, res) => {
    const id = String(res.getHeader(NAMES.requestId));
    socket.end(
      `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.signature}: signed\r\ncontent-le`,
    );
  },
  'stops after the last field of the head': ({socket}, res) => {
    const id = String(res.getHeader(NAMES.requestId));
    socket.end(
      `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.signature}: signed\r\n`,
    );
  },
  'stops within the head after an interim response': ({socket}, res) => {
    const id = String(res.getHeader(NAMES.requestId));
    socket.end(
      'HTTP/1.1 102 Processing\r\n\r\n' +
        `HTTP/1.1 200 OK\r\n${NAMES.requestId}: ${id}\r\n` +
        `${NAMES.signature}: signed\r\n`,
    );
  },
  "responds with an earlier request's refusal": (_, res) => {
    res.setHeader(NAMES.requestId, 'earlier');
    res.setHeader(NAMES.notExecuted, '1');
    res.writeHead(503).end();
  },
  'responds with a 421 for an earlier request': (_, res) => {
    res.setHeader(NAMES.requestId, 'earlier');
    res.writeHead(421).end();
  },
  'rejects requests': (_, res) => {
    res.setHeader(NAMES.notExecuted, '1');
    res.writeHead(503).end();
  },
  'sends an endless header': (_, res) => {
    const {socket} = res;
    socket?.write('HTTP/1.1 200 OK\r\n');
    if (socket) sendEndlessly(socket, `x-more: ${'x'.repeat(1000)}\r\n`);
  },
  'sends endless interim responses': (_, res) => {
    const {socket} = res;
    if (socket) sendEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n');
  },
  'sends an endless body': (_, res) => {
    res.writeHead(200);
    sendEndlessly(res, 'x'.repeat(64 * 1024));
  },
  'responds with 503 after running': (_, res) => res.writeHead(503).end(),
} as const satisfies Readonly<Record<string, Behaviour>>;

/** Writes a chunk repeatedly until the other side closes. */
function sendEndlessly(out: Writable, chunk: string): void {
  const send = () => {
    if (!out.destroyed) out.write(chunk, () => setImmediate(send));
  };
  out.on('error', () => undefined);
  send();
}

/** A log line of a daemon of the fleet. */
export interface LogLine extends LogFields {
  readonly event: string;
}

/** The operating system assigns the port. */
const ANY_PORT = '127.0.0.1:0';

/** A VM with its daemon and its backend server. */
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

/** Builds a route for tests; omitted fields have defaults. */
export function testRoute(
  route: Pick<Route, 'name' | 'prefix' | 'isIdempotent' | 'targets'> &
    Partial<Route>,
): Route {
  return {...ROUTE_DEFAULTS, ...route};
}

/** The fleet of one scenario. */
export class MeshFleet {
  readonly vms: MeshVm[] = [];
  readonly lines: LogLine[] = [];
  /** Failure domains of the VMs, in order; if empty, all are in `test`. */
  domains: readonly string[] = [];
  /** Whether failure domains can be evacuated. */
  canEvacuate = false;
  /** Settings of the daemons that are started from now on. */
  settings: Partial<MeshSettings> = {};
  #heldReader: HeldReader | undefined;

  /** Starts a fleet, and waits until all daemons are connected. */
  async start(
    services: readonly string[],
    slots: number,
    shares: readonly CustomerShares[] = [],
  ): Promise<void> {
    await this.launch(services, slots, shares);
    while (!this.isConnected) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
  }

  /** Starts `vm-0`, `vm-1` … with one backend server for each service given. */
  async launch(
    services: readonly string[],
    slots: number,
    shares: readonly CustomerShares[] = [],
  ): Promise<void> {
    for (const [index, service] of services.entries()) {
      const log = this.#log();
      const domain = this.domains[index] ?? 'test';
      const {canEvacuate, settings} = this;
      const customerShares = shares[index];
      const plan = {id: `vm-${index}`, service, slots, domain};
      this.vms.push(
        await startVm({...plan, canEvacuate, customerShares, settings, log}),
      );
    }
    const all = this.vms.map(({daemon}) => daemon.self);
    this.vms.forEach(({daemon}) => daemon.peers.applyList(all));
  }

  /** Starts one more VM whose peers reach it at a given address. */
  async launchAt(
    id: string,
    peers: string,
    service: string,
    slots: number,
  ): Promise<void> {
    const vm = await startVm({id, service, slots, log: this.#log(), peers});
    vm.daemon.peers.applyList(this.vms.map(({daemon}) => daemon.self));
    this.vms.push(vm);
  }

  /** Whether each daemon has the status of all others. */
  get isConnected(): boolean {
    return this.vms.every(({daemon}) => {
      const links = daemon.peers.links;
      // Gates tell nothing before they know of evacuations.
      const heard = links.filter(({status}) =>
        this.canEvacuate ? status : status?.backend,
      );
      return heard.length === this.vms.length - 1;
    });
  }

  configure(configuration: FleetConfiguration): void {
    this.vms.forEach(({daemon}) =>
      daemon.configurationTracker.applyIfNewer(configuration, 'test'),
    );
  }

  /** From now on log lines are buffered, as for a reader that is blocked. */
  pauseLogReader(): void {
    this.#heldReader = new HeldReader();
  }

  /** Reads the buffered log lines. */
  resumeLogReader(): void {
    const text = this.#heldReader?.read() ?? '';
    this.lines.push(...(parseLog(text) as readonly LogLine[]));
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
    const record = (kind: keyof DecisionLog) => {
      return (event: string, fields: LogFields) => {
        if (this.#heldReader) this.#heldReader.log[kind](event, fields);
        else this.lines.push({...fields, event});
      };
    };
    return {
      step: record('step'),
      failure: record('failure'),
      belief: record('belief'),
    };
  }
}

async function startVm({
  id,
  service,
  slots,
  log,
  peers = ANY_PORT,
  domain = 'test',
  canEvacuate = false,
  customerShares = 'none',
  settings = {},
}: {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly log: DecisionLog;
  readonly peers?: string;
  readonly domain?: string;
  readonly canEvacuate?: boolean;
  readonly customerShares?: CustomerShares;
  readonly settings?: Partial<MeshSettings>;
}): Promise<MeshVm> {
  const backend = new MeshBackend();
  const address = await backend.start();
  const daemon = new MeshDaemon({
    settings: {
      vm: {id, failureDomain: domain},
      ...(canEvacuate ? {evacuation: {applyMs: 5000}} : {}),
      listen: {
        callers: ANY_PORT,
        readiness: ANY_PORT,
        announcements: ANY_PORT,
        peers,
        metrics: ANY_PORT,
      },
      backend: {address, service},
      store: {address: '127.0.0.1:9'},
      isFirstStart: true,
      stopTimeoutS: 3,
      quarantinesRequests: true,
      scheduling: {customerShares},
      repeats: {ratio: 0.2, windowS: 10, slack: 60, callReserve: 0},
      ...settings,
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
