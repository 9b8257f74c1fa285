/**
 * Pays owners of shared limits now and then. Daemons that start together pay
 * at moments of their own, so that owners get a steady flow.
 */

/** How often a daemon pays, in milliseconds. */
export const PAY_MS = 800;

/** Runs payments until it is stopped. */
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
