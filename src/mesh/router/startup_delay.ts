/**
 * Delays requests that arrive just after the start of the daemon, until it has
 * the information to serve them: one thing after the other becomes known, such
 * as the configuration, then the list of peers, then their instances. Each is
 * usually known within about half a second, and later on scarce processors, so
 * a request that is refused earlier could have been served.
 *
 * Designed for the case that all daemons are killed at once and callers
 * reconnect at once.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {ResponseTimeout} from '../../timing/response_timeout.js';

/** Time for each thing to become known after the one before. */
const MAX_STEP_MS = 1000;
/** Short, since a check costs next to nothing. */
const POLL_INTERVAL_MS = 20;

/** Limits of the delay of one request. */
export interface DelayLimits {
  /** Aborted when the caller has disconnected. */
  readonly callerSignal: AbortSignal;
  /** Monotonic clock. */
  readonly deadlineAtMs: number;
}

/** Delays requests while the daemon starts. */
export class StartupDelay {
  readonly #isKnown: readonly (() => boolean)[];
  #isStarting = true;

  /** Takes what has to become known, in this order, before peers are found. */
  constructor(isKnown: readonly (() => boolean)[]) {
    this.#isKnown = isKnown;
  }

  /** Called when callers can connect; the daemon looks for information then. */
  begin(): void {
    void this.#watch();
  }

  /** Delays no more requests. */
  stop(): void {
    this.#isStarting = false;
  }

  /**
   * Waits until the information is there, the startup time is over, or the
   * caller has disconnected or given up.
   */
  async waitUntil(isReady: () => boolean, limits: DelayLimits): Promise<void> {
    const {callerSignal, deadlineAtMs} = limits;
    const mayWait = () =>
      !callerSignal.aborted && performance.now() < deadlineAtMs;
    while (!isReady() && this.#isStarting && mayWait()) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  async #watch(): Promise<void> {
    const steps = [...this.#isKnown, () => false];
    for (const isDone of steps) {
      if (!(await this.#isDoneInTime(isDone))) break;
    }
    this.stop();
  }

  async #isDoneInTime(isDone: () => boolean): Promise<boolean> {
    let isOver = false;
    const timeout = new ResponseTimeout(MAX_STEP_MS, () => (isOver = true));
    while (!isDone() && !isOver && this.#isStarting) {
      await sleep(POLL_INTERVAL_MS);
    }
    timeout.cancel();
    return isDone();
  }
}
