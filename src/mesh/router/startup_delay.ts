/**
 * Delays requests that arrive just after the start of the daemon, until it has
 * the information to serve them. It receives the configuration and discovers
 * its peers within about half a second, so a request that is refused earlier
 * could have been served.
 *
 * Designed for the case that all daemons are killed at once and callers
 * reconnect at once.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** Requests are delayed only within this time after the start. */
const MAX_STARTUP_MS = 1000;
/** Short, since a check costs next to nothing. */
const POLL_INTERVAL_MS = 20;

/** Delays requests while the daemon starts. */
export class StartupDelay {
  readonly #startedAtMs: number;
  readonly #now: () => number;

  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
    this.#startedAtMs = now();
  }

  /**
   * Waits until the information is there, the startup time is over, or the
   * caller has disconnected.
   */
  async waitUntil(
    isReady: () => boolean,
    callerSignal: AbortSignal,
  ): Promise<void> {
    while (!isReady() && this.#isStarting && !callerSignal.aborted) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  get #isStarting(): boolean {
    return this.#now() - this.#startedAtMs < MAX_STARTUP_MS;
  }
}
