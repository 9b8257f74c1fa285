/**
 * Makes each turn of this process's event loop last at least as long as given,
 * as on a machine whose processors are shared by too many processes.
 */
export class LateEventLoop {
  readonly #turnMs: number;
  #isStopped = false;

  constructor(turnMs: number) {
    this.#turnMs = turnMs;
    setImmediate(() => this.#turn());
  }

  stop(): void {
    this.#isStopped = true;
  }

  #turn(): void {
    if (this.#isStopped) return;
    blockFor(this.#turnMs);
    setImmediate(() => this.#turn());
  }
}

/** Keeps the process busy for a time, in which it reads and sends nothing. */
export function blockFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}
