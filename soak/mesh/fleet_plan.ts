/**
 * The fleet of a mesh soak: which VM has which instance, and which service its
 * callers use. All VMs have the same ports, each at an address of its own.
 */
import type {
  DocumentOptions,
  KeyedCustomer,
  ServiceRoute,
} from '../../features/support/platform_documents.js';

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
  /** The key of its callers; undefined if the fleet has no customers. */
  readonly key: string | undefined;
}

/** How large a fleet is, and what its callers do. */
export interface FleetOptions {
  readonly daemons: number;
  readonly slots: number;
  readonly workMs: number;
  /** Requests per second to each daemon. */
  readonly requestsPerS: number;
  /** Uploads per second to each daemon; if 0, no instance accepts uploads. */
  readonly uploadsPerS: number;
  /** Mean size of the body of an upload. */
  readonly uploadBytes: number;
  /** No upload is larger. */
  readonly maxUploadBytes: number;
  /** The configuration's limit for bodies. */
  readonly maxBodyBytes: number;
  /** Customers, each with a key; if 0, callers send no key. */
  readonly customers: number;
}

const SERVICES = ['ledger', 'sweep'] as const;
const UPLOAD_SERVICE = 'intake';
/** Of so many VMs, one has an instance that accepts uploads. */
const VMS_PER_UPLOAD_INSTANCE = 10;
const FAILURE_DOMAINS = 4;
/** Long enough for a request that waits for a slot. */
const ROUTE_TIMEOUT_MS = 4000;
const VMS_PER_SUBNET = 200;
/** The second part of loopback addresses, so that runs don't collide. */
const NETWORKS = 200;
/** A customer may send so many times what its callers send. */
const RATE_RESERVE = 1.6;

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
export function planFleet(options: FleetOptions): readonly SoakVm[] {
  const network = 1 + (process.pid % NETWORKS);
  return Array.from({length: options.daemons}, (_, index) => {
    const subnet = Math.floor(index / VMS_PER_SUBNET);
    const acceptsUploads =
      options.uploadsPerS > 0 && index % VMS_PER_UPLOAD_INSTANCE === 0;
    return {
      index,
      id: `vm-${index}`,
      ip: `127.${network}.${subnet}.${1 + (index % VMS_PER_SUBNET)}`,
      failureDomain: `domain-${index % FAILURE_DOMAINS}`,
      service: acceptsUploads ? UPLOAD_SERVICE : serviceAt(index),
      // Of four neighbours, two use the service of their own instance.
      calledService: serviceAt(Math.floor(index / 2)),
      key: options.customers > 0 ? keyOf(index % options.customers) : undefined,
    };
  });
}

/** A VM of another id and service that takes over the address of this one. */
export function successorOf(vm: SoakVm): SoakVm {
  const service = vm.service === SERVICES[0] ? SERVICES[1] : SERVICES[0];
  return {...vm, id: `${vm.id}-new`, service};
}

/** `IP:PORT` of a listener. */
export function addressOf({ip}: SoakVm, listener: Listener): string {
  return `${ip}:${PORTS[listener]}`;
}

const HOST = 'app.example';

/** The route of uploads. */
export const UPLOAD_ROUTE: ServiceRoute = {
  service: UPLOAD_SERVICE,
  host: HOST,
  prefix: `/${UPLOAD_SERVICE}/`,
  kind: 'upload',
  timeoutMs: ROUTE_TIMEOUT_MS,
};

/** The routes of the configuration, one for each service. */
export const ROUTES: readonly ServiceRoute[] = [
  ...SERVICES.map(
    service =>
      ({
        service,
        host: HOST,
        prefix: `/${service}/`,
        kind: 'unsafe',
        timeoutMs: ROUTE_TIMEOUT_MS,
      }) as const,
  ),
  UPLOAD_ROUTE,
];

/** What the configuration contains beside the routes. */
export function documentOptionsOf(options: FleetOptions): DocumentOptions {
  const {daemons, customers, requestsPerS, uploadsPerS, maxBodyBytes} = options;
  const daemonsOfCustomer = Math.ceil(daemons / Math.max(1, customers));
  const ratePerS =
    daemonsOfCustomer * (requestsPerS + uploadsPerS) * RATE_RESERVE;
  return {
    maxBodyBytes,
    customers: Array.from({length: customers}, (_, index): KeyedCustomer => ({
      name: `customer-${index}`,
      key: keyOf(index),
      ratePerS,
    })),
  };
}

function keyOf(customer: number): string {
  return `key-${customer}`;
}

function serviceAt(index: number): string {
  return SERVICES[index % SERVICES.length] ?? SERVICES[0];
}
