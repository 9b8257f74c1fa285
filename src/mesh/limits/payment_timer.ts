/**
 * Sends payments to the owners of shared limits at a fixed interval. The first
 * payment is sent after a random delay, so that owners receive a steady flow
 * even if all daemons start together.
 */

/** Time between two payments of a daemon. */
export const PAY_MS = 800;

/** Sends payments until it is stopped. */
export class PaymentTimer {
  readonly #payAll: () => void;
  #timer: NodeJS.Timeout | undefined;

  constructor(payAll: () => void) {
    this.#payAll = payAll;
  }

  start(): void {
    this.#timer = setTimeout(() => {
      this.#payAll();
      this.#timer = setInterval(this.#payAll, PAY_MS);
    }, Math.random() * PAY_MS);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }
}
