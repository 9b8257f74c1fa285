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
  sent(): void;
  /** The answer's headers came, or the exchange ended without them. */
  ended(kind: SampleKind): void;
}

/** What is known of an instance before an exchange with it. */
export interface Candidacy {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly busy: number;
}

/** Evidence in, permission to send out. */
export interface HealthView {
  /** Starts to watch an exchange. */
  observe(instance: Candidacy, methodClass: MethodClass): Observation;
  grade(instanceId: string): Grade;
  /** Requests that the instance may hold at once, this one included. */
  limit(instance: Candidacy, trial: boolean): number;
  /** True if an instance that isn't full should get a trial request. */
  isTrialDue(instanceId: string): boolean;
  /** Load that others put on the instance, in slots; a hint at most. */
  foreignLoad(instance: Candidacy): number;
}

const SERVER_FAULTS: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/**
 * What an answer says about the instance. A 503 with `Retry-After` is a
 * truthful shed only while the instance really has much to do: the gate is
 * the one that gives it work, so it can tell.
 */
export function kindOfAnswer(
  status: number,
  headers: readonly string[],
  instance: Candidacy,
): SampleKind {
  if (!SERVER_FAULTS.has(status)) return 'success';
  const asksToWait = headers.some(
    (field, index) => index % 2 === 0 && field.toLowerCase() === 'retry-after',
  );
  const hasMuchToDo = instance.busy * 2 >= instance.slots;
  return status === 503 && asksToWait && hasMuchToDo ? 'shed' : 'failure';
}

/** The class of a method. */
export function classOfMethod(method: string): MethodClass {
  return method === 'GET' || method === 'HEAD' ? 'read' : 'write';
}
