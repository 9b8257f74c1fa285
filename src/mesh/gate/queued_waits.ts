/**
 * The requests that wait for a slot of a gate, so that all of them can be sent
 * elsewhere at once when the gate stops granting slots.
 */

const GATE_CLOSED = new Error('the gate grants no more slots');

/** A wait that its router or the gate can end. */
export interface QueuedWait {
  readonly signal: AbortSignal;
  /** Called when the wait is over. */
  end(): void;
}

/** The waits of one gate. */
export class QueuedWaits {
  readonly #waits = new Set<AbortController>();

  /** Begins a wait that ends early with the router's signal. */
  begin(routerSignal: AbortSignal): QueuedWait {
    const wait = new AbortController();
    const onAbort = () => wait.abort(routerSignal.reason);
    routerSignal.addEventListener('abort', onAbort, {once: true});
    if (routerSignal.aborted) onAbort();
    this.#waits.add(wait);
    const end = () => {
      this.#waits.delete(wait);
      routerSignal.removeEventListener('abort', onAbort);
    };
    return {signal: wait.signal, end};
  }

  /** Ends all waits. */
  endAll(): void {
    [...this.#waits].forEach(wait => wait.abort(GATE_CLOSED));
  }
}
