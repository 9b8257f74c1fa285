/**
 * The requests that run at the backend server now, so that a call that it
 * makes can be traced back to a repeat. A call doesn't say which run makes it:
 * while a repeat runs, the calls that one run makes are taken as that
 * repeat's, whatever else runs beside it.
 */

/** One request at the backend server. */
export interface BackendRun {
  /** Sent to another instance before. */
  readonly isRepeat: boolean;
  /** Calls that were traced back to it, by the service that was called. */
  readonly calls: Map<string, number>;
}

/** Calls of one run to one service until more are seen. */
const FIRST_MOST_CALLS = 1;

/** The runs of one backend server. */
export class BackendRuns {
  readonly #open = new Set<BackendRun>();
  /** The most calls to a service that a run made while it ran alone. */
  readonly #mostCalls = new Map<string, number>();

  started(isRepeat: boolean): BackendRun {
    const run = {isRepeat, calls: new Map<string, number>()};
    this.#open.add(run);
    return run;
  }

  ended(run: BackendRun): void {
    this.#open.delete(run);
  }

  /** Notes a call to a service; whether it counts as a call of a repeat. */
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
