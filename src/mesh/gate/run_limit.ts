/**
 * The time limit of a run at the gate. A router cancels its runs at the
 * deadline; if it lost power, its connection may stay open for minutes, and the
 * slot of a hanging instance would stay held as long.
 */
import {ResponseTimeout} from '../../timing/response_timeout.js';

/**
 * Time for the router's own cancellation to arrive, which comes first as long
 * as the router runs: its deadline is at most the time left that it sent.
 */
const RUN_GRACE_MS = 500;

/** Callers may send any number, and timers of Node.js overflow at 25 days. */
const MAX_LIMIT_MS = 24 * 60 * 60 * 1000;

const TIME_LIMIT_EXCEEDED = new Error('time limit of the run');

/** Cancels a run when its request's time has passed. */
export class RunLimit {
  readonly #controller = new AbortController();
  readonly #timeout: ResponseTimeout;
  readonly #routerSignal: AbortSignal;
  readonly #onRouterAbort = () => {
    this.#controller.abort(this.#routerSignal.reason);
  };

  /** `routerSignal` cancels the run as well. */
  constructor(leftMs: number, routerSignal: AbortSignal) {
    this.#routerSignal = routerSignal;
    routerSignal.addEventListener('abort', this.#onRouterAbort, {once: true});
    const limitMs = Math.min(leftMs + RUN_GRACE_MS, MAX_LIMIT_MS);
    this.#timeout = new ResponseTimeout(limitMs, () =>
      this.#controller.abort(TIME_LIMIT_EXCEEDED),
    );
  }

  /** Aborted by the router or when the time has passed. */
  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  /** Whether the run was cancelled because its time had passed. */
  get isExceeded(): boolean {
    return this.signal.reason === TIME_LIMIT_EXCEEDED;
  }

  /** Ends the limit, since the run has ended. */
  cancel(): void {
    this.#timeout.cancel();
    this.#routerSignal.removeEventListener('abort', this.#onRouterAbort);
  }
}
