/**
 * What the gate needs of health: it reports how each exchange with an
 * instance went, and asks how much work each instance may have.
 */

/** How much work an instance is trusted with. */
export type Grade = 'full' | 'reduced' | 'ejected';

/** Requests that are alike in cost; their latencies may be compared. */
export type MethodClass = 'read' | 'write';

/** How an exchange with an instance went. */
export type SampleKind =
  | 'success'
  /** A 5xx of its own, a lost connection, or one that didn't open. */
  | 'failure'
  /** No answer before the deadline. */
  | 'timeout'
  /** A refusal for overload, which says nothing about its health. */
  | 'shed'
  /** Ended by the caller. */
  | 'cancelled';

/** An exchange in flight. */
export interface Observation {
  /** The request's last byte was sent; latency counts from here. */
  onSent(): void;
  /** The answer's headers came, or the exchange ended without them. */
  onEnded(kind: SampleKind): void;
}

/** What is known of an instance before an exchange with it. */
export interface InstanceSnapshot {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly busy: number;
}

/** Evidence in, permission to send out. */
export interface HealthView {
  /** Starts to watch an exchange. */
  observe(instance: InstanceSnapshot, methodClass: MethodClass): Observation;
  grade(instanceId: string): Grade;
  /** Requests that the instance may hold at once, this one included. */
  limit(instance: InstanceSnapshot, isTrial: boolean): number;
  /** True if an instance that isn't full should get a trial request. */
  isTrialDue(instanceId: string): boolean;
  /** Load that others put on the instance, in slots; a hint at most. */
  foreignSlots(instance: InstanceSnapshot): number;
}

const SERVER_ERROR_STATUSES: ReadonlySet<number> = new Set([
  500, 502, 503, 504,
]);

/**
 * What an answer says about the instance. A 503 with `Retry-After` is a
 * truthful shed only while the instance really has much to do: the gate is
 * the one that gives it work, so it can tell.
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

/** The class of a method. */
export function classifyMethod(method: string): MethodClass {
  return method === 'GET' || method === 'HEAD' ? 'read' : 'write';
}
