/**
 * Names of the header fields that the daemons exchange with callers and
 * backend servers. They can be set for each deployment, since its callers and
 * backend servers may use other names. All names are lower case.
 */

/** The name of each field, in lower case. */
export interface HeaderNames {
  /** Id of the request, set by the caller. */
  readonly requestId: string;
  /** Milliseconds until the sender stops waiting for the response. */
  readonly deadline: string;
  /** The customer's API key. */
  readonly key: string;
  /** The customer's name, added for the backend server. */
  readonly customer: string;
  /** Service of the VM whose daemon accepted the request. */
  readonly callerService: string;
  /** The only instance that may execute the request. */
  readonly targetInstance: string;
  /** The instance that answered a health probe. */
  readonly instance: string;
  /** Set by an instance on every response that it generated itself. */
  readonly signature: string;
  /** Set by an instance on its response to a request that it didn't execute. */
  readonly notExecuted: string;
  /** Running requests, queued requests and slots of an instance. */
  readonly load: string;
  /** Requests per second that an instance in need takes from all callers. */
  readonly rateLimit: string;
  /** `1` in the responses of an instance that is leaving. */
  readonly leaving: string;
  /** In responses of the health path: how long the instance stays cold (ms). */
  readonly warmupLeft: string;
}

/** Names that apply unless a deployment sets others. */
export const DEFAULT_HEADER_NAMES: HeaderNames = {
  requestId: 'x-request-id',
  deadline: 'x-deadline-ms',
  key: 'x-api-key',
  customer: 'x-customer',
  callerService: 'x-calling-service',
  targetInstance: 'x-only-instance',
  instance: 'x-instance',
  signature: 'x-signature',
  notExecuted: 'x-not-run',
  load: 'x-load',
  rateLimit: 'x-rate-limit',
  leaving: 'x-leaving',
  warmupLeft: 'x-warmup-left-ms',
};
