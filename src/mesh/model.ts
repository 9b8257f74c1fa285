/**
 * Data model of a mesh fleet, which has no control VM: its configuration, its
 * VMs and the state of the backend server on each VM. All times are in
 * milliseconds; a field that ends in `AtMs` is a reading of the local monotonic
 * clock.
 */

/** A service that a route sends requests to, and its weight among them. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** A route: matches the requests for one host below one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  /** Whether a request may be executed more than once. */
  readonly isIdempotent: boolean;
  /** Longest time until the caller gets a response. */
  readonly timeoutMs: number;
  /** The latency objective. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** At most this many instances may execute one request. */
  readonly maxAttempts: number;
  /** Whether callers need no customer's API key. */
  readonly isPublic: boolean;
  readonly targets: readonly RouteTarget[];
}

/** A customer, with its API keys and its rate limit for the whole fleet. */
export interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
  /** 0: no limit. */
  readonly ratePerS: number;
  readonly burst: number;
  /** Overrides the priority of the route. */
  readonly priority?: number;
  /** Its part of an instance beside other customers; 1 if omitted. */
  readonly weight?: number;
}

/** What the operators configure for a service. */
export interface ServiceRecord {
  readonly name: string;
  readonly healthPath: string;
  /**
   * How long an instance is cold after its start; 0: no limit applies. Both are
   * missing in a configuration that a daemon without cold pacing passed on.
   */
  readonly warmupMs?: number;
  /** Requests per second that a cold instance tolerates; 0: any number. */
  readonly coldPerS?: number;
}

/** Limits for callers: body size, header timeout and idle timeout. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration, as the operators set it. */
export interface FleetConfiguration {
  /** Increases with each change. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly customers: readonly Customer[];
  readonly services: readonly ServiceRecord[];
  readonly limits: CallerLimits;
}

/** A VM of the fleet, with the address at which peers reach its daemon. */
export interface Vm {
  readonly id: string;
  /** `IP:PORT` of its listener for peers. */
  readonly address: string;
  readonly failureDomain: string;
}

/** Whether a backend server accepts new requests; only `ready` does. */
export type BackendState = 'ready' | 'draining' | 'down';

/** A heartbeat, in which an instance reports its own state. */
export interface Heartbeat {
  readonly instance: string;
  readonly service: string;
  readonly state: 'ready' | 'draining';
  /** How many requests the instance executes concurrently. */
  readonly slots: number;
  /** Remaining time of the cold start, during which the instance is slow. */
  readonly coldForMs: number;
  /** Wall clock at the instance's start; identifies the incarnation. */
  readonly startedAtUnixMs: number;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number;
}

/**
 * Result of the outlier detection for an instance: `suspect` after a failure,
 * then on `probation` until some requests in a row have succeeded.
 */
export type Trust = 'clear' | 'probation' | 'suspect';

/** State of the backend server on a VM, which its gate sends to all routers. */
export interface BackendStatus {
  readonly instance: string;
  readonly service: string;
  readonly state: BackendState;
  readonly slots: number;
  readonly isCold: boolean;
  readonly trust: Trust;
  /** Requests that occupy a slot. */
  readonly running: number;
  /** Requests that are queued for a slot. */
  readonly waiting: number;
  /**
   * How long another request would wait for its turn, while the instance names
   * a rate limit.
   */
  readonly turnWaitMs?: number;
}

/** The status that a daemon sends to its peers. */
export interface VmStatus {
  readonly backend?: BackendStatus;
  readonly configurationVersion: number;
  readonly isStopping: boolean;
}
