/**
 * The interface between the gate (the part of a daemon that sends requests to
 * the instances of backend servers) and outlier detection. The gate reports
 * the outcome of each exchange with an instance, and reads how many requests
 * each instance may have in flight.
 */

/** How much work an instance gets, decided from its health. */
export type Grade = 'full' | 'reduced' | 'ejected';

/** Requests of similar cost, so that their latencies can be compared. */
export type MethodClass = 'read' | 'write';

/** The outcome of an exchange with an instance. */
export type SampleKind =
  | 'success'
  /** A 5xx from the instance, or a connection that was lost or not opened. */
  | 'failure'
  /** No response before the deadline. */
  | 'timeout'
  /** Rejected for overload, which is no evidence on the instance's health. */
  | 'shed'
  /** Cancelled by the caller. */
  | 'cancelled';

/** An exchange in flight. */
export interface Observation {
  /** The request's last byte was sent; latency is measured from here. */
  onSent(): void;
  /** The response headers arrived, or the exchange ended without them. */
  onEnded(kind: SampleKind): void;
}

/** The instance's identity and load before an exchange. */
export interface InstanceSnapshot {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly busy: number;
}

/** Records evidence on instances, and limits the requests to them. */
export interface HealthView {
  /** Starts the observation of an exchange. */
  observe(instance: InstanceSnapshot, methodClass: MethodClass): Observation;
  grade(instanceId: string): Grade;
  /** Maximum number of requests in flight, including the next one. */
  limit(instance: InstanceSnapshot, isTrial: boolean): number;
  /** True if an instance below grade `full` should get a trial request. */
  isTrialDue(instanceId: string): boolean;
  /** Estimated slots kept busy by other clients of the instance. */
  foreignSlots(instance: InstanceSnapshot): number;
}

const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([
  500, 502, 503, 504,
]);

/**
 * Classifies a response. A 503 with `Retry-After` counts as load shedding only
 * if at least half of the instance's slots are busy; otherwise it counts as a
 * failure. The gate can check this, since it sends the instance its work.
 */
export function classifyResponse(
  status: number,
  headers: readonly string[],
  instance: InstanceSnapshot,
): SampleKind {
  if (!SERVER_ERROR_STATUSES.has(status)) return 'success';
  const hasRetryAfter = headers.some(
    (field, index) => index % 2 === 0 && field.toLowerCase() === 'retry-after',
  );
  const isBusy = instance.busy * 2 >= instance.slots;
  return status === 503 && hasRetryAfter && isBusy ? 'shed' : 'failure';
}

export function classifyMethod(method: string): MethodClass {
  return method === 'GET' || method === 'HEAD' ? 'read' : 'write';
}
