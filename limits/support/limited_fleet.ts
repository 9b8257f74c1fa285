/**
 * A small fleet of daemons in processes of their own, with a stand-in for the
 * store and one instance. The instance is on the VM of the first daemon, the
 * gate; the requests at all other daemons are sent to it.
 */
import {createServer, type Server} from 'node:http';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {listen} from '../../src/http/listener.js';
import {documentOfRoutes} from '../../features/support/platform_documents.js';
import {PlatformStore} from '../../features/support/platform_store.js';
import {freeAddress} from '../../features/support/ports.js';
import {HOST, LimitedDaemon, type Resources} from './limited_daemon.js';
import {
  LARGE_PATH,
  LARGE_RESPONSE_BYTES,
  MAX_BODY_BYTES,
  MEDIUM_PATH,
  MEDIUM_RESPONSE_BYTES,
} from './platform_crowd.js';

/** What a fleet consists of. */
export interface FleetPlan {
  readonly resources: Resources;
  /** Daemons beside the gate. */
  readonly routerCount?: number;
  readonly maxBodyBytes?: number;
  /** How long the instance takes for a request. */
  readonly serviceMs?: number;
}

const ANY_PORT = '127.0.0.1:0';
const INSTANCE_SLOTS = 8;
const ROUTE_TIMEOUT_MS = 20_000;
const SERVICE = 'pay';
/** The instances of this service aren't there. */
const OTHER_SERVICE = 'other';
/** Responses by path; all others are short. */
const RESPONSES: Readonly<Partial<Record<string, Buffer>>> = {
  [LARGE_PATH]: Buffer.alloc(LARGE_RESPONSE_BYTES),
  [MEDIUM_PATH]: Buffer.alloc(MEDIUM_RESPONSE_BYTES),
};

/** The fleet of one scenario. */
export class LimitedFleet {
  readonly gate: LimitedDaemon;
  readonly routers: readonly LimitedDaemon[];
  readonly #store: PlatformStore;
  readonly #backend: Server;

  private constructor(
    [gate, ...routers]: readonly [LimitedDaemon, ...LimitedDaemon[]],
    {store, backend}: {store: PlatformStore; backend: Server},
  ) {
    this.gate = gate;
    this.routers = routers;
    this.#store = store;
    this.#backend = backend;
  }

  /** Starts a fleet, and waits until each daemon serves requests. */
  static async start(plan: FleetPlan): Promise<LimitedFleet> {
    const {routerCount = 0, maxBodyBytes = MAX_BODY_BYTES} = plan;
    const {resources, serviceMs = 0} = plan;
    const store = new PlatformStore();
    // Uploads may run once; a repeat would hide a request that is lost.
    const kind = routerCount === 0 ? 'safe' : 'upload';
    const route = {
      service: SERVICE,
      host: HOST,
      prefix: '/app/',
      kind,
    } as const;
    const routes = [{...route, timeoutMs: ROUTE_TIMEOUT_MS}];
    store.writeConfiguration(
      documentOfRoutes('00000001', routes, {maxBodyBytes}),
    );
    const vm = {resources, store: await store.start()};
    const backend = createBackend(serviceMs);
    const address = await listen(backend, ANY_PORT, 'backend server');
    const gate = await LimitedDaemon.start({
      ...vm,
      id: 'vm-1',
      backend: {address, service: SERVICE},
    });
    const startRouter = async (index: number) =>
      LimitedDaemon.start({
        ...vm,
        id: `vm-${index + 2}`,
        backend: {address: await freeAddress(), service: OTHER_SERVICE},
      });
    const routers = await Promise.all(
      Array.from({length: routerCount}, (_, index) => startRouter(index)),
    );
    const fleet = new LimitedFleet([gate, ...routers], {store, backend});
    await Promise.all(fleet.daemons.map(daemon => daemon.waitUntilServing()));
    return fleet;
  }

  get daemons(): readonly LimitedDaemon[] {
    return [this.gate, ...this.routers];
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.stop()));
    this.#store.stop();
    this.#backend.closeAllConnections();
    this.#backend.close();
  }
}

/** The instance: answers some time after it has read the whole request. */
function createBackend(serviceMs: number): Server {
  return createServer((req, res) => {
    req.resume();
    res.setHeader(NAMES.instance, 'i-1');
    res.setHeader(NAMES.load, `0,0,${INSTANCE_SLOTS}`);
    if (req.url === '/health') return res.end();
    res.setHeader(NAMES.requestId, String(req.headers[NAMES.requestId]));
    res.setHeader(NAMES.signature, 'signed');
    const body = RESPONSES[req.url ?? ''] ?? 'done';
    req.on('end', () => {
      if (serviceMs === 0) return void res.end(body);
      setTimeout(() => res.end(body), serviceMs);
    });
  });
}
