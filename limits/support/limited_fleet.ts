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
import {
  HOST,
  LimitedDaemon,
  type LimitedVm,
  type Resources,
} from './limited_daemon.js';
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
  readonly #plan: FleetPlan;
  readonly #store = new PlatformStore();
  readonly #backend: Server;
  #daemons: readonly LimitedDaemon[] = [];

  constructor(plan: FleetPlan) {
    this.#plan = plan;
    this.#backend = createBackend(plan.serviceMs ?? 0);
  }

  /** Starts all daemons, and waits until each serves requests. */
  async start(): Promise<void> {
    const {resources, routerCount = 0} = this.#plan;
    this.#store.writeConfiguration(documentOf(this.#plan));
    const store = await this.#store.start();
    const address = await listen(this.#backend, ANY_PORT, 'backend server');
    const start = async (id: string, backend: LimitedVm['backend']) => {
      const daemon = await LimitedDaemon.start({id, resources, store, backend});
      this.#daemons = [...this.#daemons, daemon];
    };
    await start('vm-1', {address, service: SERVICE});
    const startRouter = async (index: number) =>
      start(`vm-${index + 2}`, {
        address: await freeAddress(),
        service: OTHER_SERVICE,
      });
    const starts = Array.from({length: routerCount}, (_, i) => startRouter(i));
    const failed = (await Promise.allSettled(starts)).find(
      ({status}) => status === 'rejected',
    ) as PromiseRejectedResult | undefined;
    if (failed) throw failed.reason;
    await Promise.all(this.#daemons.map(daemon => daemon.waitUntilServing()));
  }

  /** The gate comes first. */
  get daemons(): readonly LimitedDaemon[] {
    return this.#daemons;
  }

  get routers(): readonly LimitedDaemon[] {
    return this.#daemons.slice(1);
  }

  /** Also ends what was started of a fleet whose start failed. */
  async stop(): Promise<void> {
    await Promise.all(this.#daemons.map(daemon => daemon.stop()));
    this.#store.stop();
    this.#backend.closeAllConnections();
    this.#backend.close();
  }
}

/** The configuration of a fleet, with one route to the instance's service. */
function documentOf({routerCount = 0, maxBodyBytes}: FleetPlan): string {
  const route = {
    service: SERVICE,
    host: HOST,
    prefix: '/app/',
    // Uploads may run once; a repeat would hide a request that is lost.
    kind: routerCount === 0 ? 'safe' : 'upload',
    timeoutMs: ROUTE_TIMEOUT_MS,
  } as const;
  const options = {maxBodyBytes: maxBodyBytes ?? MAX_BODY_BYTES};
  return documentOfRoutes('00000001', [route], options);
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
