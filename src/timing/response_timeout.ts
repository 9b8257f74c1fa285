/**
 * A timeout for a response, which counts only time in which this process read
 * what it received. The event loop runs due timers before it reads from sockets:
 * after a pause of the process, or a long turn of the loop, an ordinary timer
 * expires although the response is there.
 */

/** The most that one turn of the event loop counts for, in most timeouts. */
const USUAL_SLICE_MS = 200;
/** The loop reads from its sockets at least this often before the timeout. */
const MIN_SLICES = 3;
/** Long timeouts have longer slices, since each one wakes the process up. */
const MAX_SLICES = 40;

/** Calls back once, unless it is cancelled before. */
export class ResponseTimeout {
  readonly #sliceMs: number;
  readonly #onExpire: () => void;
  #slicesLeft: number;
  #timer: NodeJS.Timeout | undefined;

  constructor(timeoutMs: number, onExpire: () => void) {
    const usualSlices = Math.ceil(timeoutMs / USUAL_SLICE_MS);
    const slices = Math.min(MAX_SLICES, Math.max(MIN_SLICES, usualSlices));
    this.#slicesLeft = slices;
    this.#sliceMs = timeoutMs / slices;
    this.#onExpire = onExpire;
    this.#waitForSlice();
  }

  cancel(): void {
    clearTimeout(this.#timer);
  }

  /** However late its timer is, a slice counts as one. */
  #waitForSlice(): void {
    this.#timer = setTimeout(() => {
      this.#slicesLeft -= 1;
      if (this.#slicesLeft === 0) this.#onExpire();
      else this.#waitForSlice();
    }, this.#sliceMs);
  }
}
