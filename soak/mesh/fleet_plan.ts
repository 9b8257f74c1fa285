/**
 * The fleet of a mesh soak: which VM has which instance, and which service its
 * callers use. All VMs have the same ports, each at an address of its own.
 */
import type {ServiceRoute} from '../../features/support/platform_documents.js';

/** One VM of the fleet. */
export interface SoakVm {
  readonly index: number;
  readonly id: string;
  readonly ip: string;
  readonly failureDomain: string;
  /** The service of its instance. */
  readonly service: string;
  /** The service that its callers use. */
  readonly calledService: string;
}

/** How large a fleet is, and what its callers do. */
export interface FleetOptions {
  readonly daemons: number;
  readonly slots: number;
  readonly workMs: number;
  /** Requests per second to each daemon. */
  readonly requestsPerS: number;
}

const SERVICES = ['ledger', 'sweep'] as const;
const FAILURE_DOMAINS = 4;
/** Long enough for a request that waits for a slot. */
const ROUTE_TIMEOUT_MS = 4000;
const VMS_PER_SUBNET = 200;
/** The second part of loopback addresses, so that runs don't collide. */
const NETWORKS = 200;

/** Ports below the range that the system assigns to outgoing connections. */
const PORTS = {
  callers: 18_548,
  readiness: 18_546,
  announcements: 18_540,
  backend: 18_547,
  peers: 17_000,
  metrics: 17_001,
} as const;

/** What listens on a VM. */
export type Listener = keyof typeof PORTS;

/** The VMs of one run. */
export function planFleet({daemons}: FleetOptions): readonly SoakVm[] {
  const network = 1 + (process.pid % NETWORKS);
  return Array.from({length: daemons}, (_, index) => {
    const subnet = Math.floor(index / VMS_PER_SUBNET);
    return {
      index,
      id: `vm-${index}`,
      ip: `127.${network}.${subnet}.${1 + (index % VMS_PER_SUBNET)}`,
      failureDomain: `domain-${index % FAILURE_DOMAINS}`,
      service: serviceAt(index),
      // Of four neighbours, two use the service of their own instance.
      calledService: serviceAt(Math.floor(index / 2)),
    };
  });
}

/** `IP:PORT` of a listener. */
export function addressOf({ip}: SoakVm, listener: Listener): string {
  return `${ip}:${PORTS[listener]}`;
}

/** The routes of the configuration, one for each service. */
export const ROUTES: readonly ServiceRoute[] = SERVICES.map(service => ({
  service,
  host: 'app.example',
  prefix: `/${service}/`,
  kind: 'unsafe',
  timeoutMs: ROUTE_TIMEOUT_MS,
}));

function serviceAt(index: number): string {
  return SERVICES[index % SERVICES.length] ?? SERVICES[0];
}
