/**
 * Names of the header fields that carry the product's own particulars. They
 * are settings, since callers and backend servers of a deployment may know
 * them by other names. All are lower case.
 */

/** The table of names. */
export interface HeaderNames {
  /** Id of one request of a caller. */
  readonly requestId: string;
  /** Milliseconds until the sender gives up. */
  readonly deadline: string;
  /** The customer's key. */
  readonly key: string;
  /** The customer's name, for backend servers. */
  readonly customer: string;
  /** Service of the VM where a request began. */
  readonly callerService: string;
  /** The only instance that may run the request. */
  readonly targetInstance: string;
  /** The instance that answered a probe. */
  readonly instance: string;
  /** Set by instances on every answer that is their own. */
  readonly signature: string;
  /** Set by instances that did not run a request. */
  readonly notExecuted: string;
  /** Running and waiting requests and slots of an instance. */
  readonly load: string;
}

/** The product's own names. */
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
};
