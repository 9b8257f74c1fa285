/**
 * Requests in flight at the backend server, used to attribute the calls that
 * the server makes to a repeat. A call does not say which request caused it.
 * While a repeat is in flight, as many calls as one request makes are
 * attributed to that repeat, whatever else runs at the same time.
 */

/** One request in flight at the backend server. */
export interface BackendRun {
  /** Whether it was sent to another instance before. */
  readonly isRepeat: boolean;
  /** Calls attributed to it, by called service. */
  readonly calls: Map<string, number>;
}

/** Calls that one request makes to a service, until more are observed. */
const FIRST_MOST_CALLS = 1;

/** The requests in flight at one backend server. */
export class BackendRuns {
  readonly #open = new Set<BackendRun>();
  /** Most calls to each service by a request that ran alone. */
  readonly #mostCalls = new Map<string, number>();

  started(isRepeat: boolean): BackendRun {
    const run = {isRepeat, calls: new Map<string, number>()};
    this.#open.add(run);
    return run;
  }

  ended(run: BackendRun): void {
    this.#open.delete(run);
  }

  /** Counts a call to a service; true if it is attributed to a repeat. */
  called(service: string): boolean {
    const [first] = this.#open;
    if (first && this.#open.size === 1) {
      const calls = addCall(first, service);
      this.#mostCalls.set(service, Math.max(calls, this.#mostOf(service)));
      return first.isRepeat;
    }
    const most = this.#mostOf(service);
    const repeat = [...this.#open].find(
      run => run.isRepeat && (run.calls.get(service) ?? 0) < most,
    );
    if (repeat) addCall(repeat, service);
    return repeat !== undefined;
  }

  #mostOf(service: string): number {
    return this.#mostCalls.get(service) ?? FIRST_MOST_CALLS;
  }
}

function addCall({calls}: BackendRun, service: string): number {
  const count = (calls.get(service) ?? 0) + 1;
  calls.set(service, count);
  return count;
}
