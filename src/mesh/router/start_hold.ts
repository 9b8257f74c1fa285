/**
 * Lets requests wait that come just after the daemon's start. It learns the
 * configuration and the other daemons within half a second or so; what is
 * refused before that could have been served.
 *
 * Pattern: all daemons are killed at once, and callers come back at once.
 */
import {setTimeout as sleep} from 'node:timers/promises';

/** How long after its start a daemon may still know nobody, in milliseconds. */
const STARTING_MS = 1000;
/** Between two looks, in milliseconds; a look costs next to nothing. */
const LOOK_MS = 20;

/** Holds requests while the daemon starts. */
export class StartHold {
  readonly #startedAtMs: number;
  readonly #now: () => number;

  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
    this.#startedAtMs = now();
  }

  /** Waits until it is known, the start is over, or the caller has gone. */
  async until(isKnown: () => boolean, callerGone: AbortSignal): Promise<void> {
    while (!isKnown() && this.#isStarting && !callerGone.aborted) {
      await sleep(LOOK_MS);
    }
  }

  get #isStarting(): boolean {
    return this.#now() - this.#startedAtMs < STARTING_MS;
  }
}
