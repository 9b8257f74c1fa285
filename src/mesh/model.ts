/**
 * What a fleet without a control VM knows: its configuration, its VMs and the
 * backend server beside each daemon. All times are in milliseconds; a field
 * that ends in `AtMs` is a reading of the local monotonic clock.
 */

/** One service that a route may lead to, with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may run more than once. */
  readonly isIdempotent: boolean;
  /** The longest time that a caller is kept waiting. */
  readonly timeoutMs: number;
  /** The latency objective. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** How many instances may run one request. */
  readonly maxAttempts: number;
  /** Needs no customer's key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A customer, with its keys and its rate over the whole fleet. */
export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  /** 0: no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Replaces the priority of the route. */
  readonly priority?: number;
}

/** What the operators state of a service. */
export interface ServiceRecord {
  readonly name: string;
  readonly healthPath: string;
}

/** What a caller may send, and how long it may stay idle. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One accepted configuration, whole. */
export interface FleetConfiguration {
  /** Grows with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly customers: readonly Customer[];
  readonly services: readonly ServiceRecord[];
  readonly limits: CallerLimits;
}

/** How other daemons reach the daemon of a VM. */
export interface Vm {
  readonly id: string;
  /** `IP:PORT` of its listener for peers. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Whether a backend server takes new work. */
export type BackendState = 'ready' | 'draining' | 'down';

/** What an instance says of itself in a heartbeat. */
export interface Announcement {
  readonly instance: string;
  readonly service: string;
  readonly state: 'ready' | 'draining';
  /** How many requests it works on at once. */
  readonly slots: number;
  /** How much longer it stays slow after its start. */
  readonly coldForMs: number;
  /** Wall clock of its start; tells incarnations apart. */
  readonly startedAtUnixMs: number;
  /** Grows with each heartbeat of one incarnation. */
  readonly sequence: number;
}

/** How far an instance is trusted, see `gate/outlier_detector.ts`. */
export type Trust = 'clear' | 'probation' | 'suspect';

/** The backend server beside a daemon, as its gate describes it to routers. */
export interface BackendStatus {
  readonly instance: string;
  readonly service: string;
  readonly state: BackendState;
  readonly slots: number;
  readonly isCold: boolean;
  readonly trust: Trust;
  /** Requests that hold a slot. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
}

/** What a daemon tells its peers about itself. */
export interface VmStatus {
  readonly backend?: BackendStatus;
  readonly configurationVersion: number;
  readonly isStopping: boolean;
}
