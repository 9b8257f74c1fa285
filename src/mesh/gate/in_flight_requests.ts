/**
 * Requests in flight at the backend server, used to attribute the calls that
 * the server makes to a repeat. A call does not say which request caused it.
 * While a repeat is in flight, as many calls as one request makes are
 * attributed to that repeat, whatever else runs at the same time.
 */

/** One request in flight at the backend server. */
export interface InFlightRequest {
  /** Whether it was sent to another instance before. */
  readonly isRepeat: boolean;
  /** Calls attributed to it, by called service. */
  readonly calls: Map<string, number>;
}

/** Calls that one request makes to a service, until more are observed. */
const INITIAL_MAX_CALLS = 1;

/** The requests in flight at one backend server. */
export class InFlightRequests {
  readonly #inFlight = new Set<InFlightRequest>();
  /** Most calls to each service by a request that ran alone. */
  readonly #maxCalls = new Map<string, number>();

  start(isRepeat: boolean): InFlightRequest {
    const request = {isRepeat, calls: new Map<string, number>()};
    this.#inFlight.add(request);
    return request;
  }

  end(request: InFlightRequest): void {
    this.#inFlight.delete(request);
  }

  /** Counts a call to a service; true if it is attributed to a repeat. */
  recordCall(service: string): boolean {
    const [first] = this.#inFlight;
    if (first && this.#inFlight.size === 1) {
      const calls = incrementCalls(first, service);
      this.#maxCalls.set(service, Math.max(calls, this.#maxCallsTo(service)));
      return first.isRepeat;
    }
    const maxCalls = this.#maxCallsTo(service);
    const repeat = [...this.#inFlight].find(
      request =>
        request.isRepeat && (request.calls.get(service) ?? 0) < maxCalls,
    );
    if (repeat) incrementCalls(repeat, service);
    return repeat !== undefined;
  }

  #maxCallsTo(service: string): number {
    return this.#maxCalls.get(service) ?? INITIAL_MAX_CALLS;
  }
}

function incrementCalls({calls}: InFlightRequest, service: string): number {
  const count = (calls.get(service) ?? 0) + 1;
  calls.set(service, count);
  return count;
}
