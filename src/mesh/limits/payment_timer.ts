/**
 * Sends payments to the owners of shared limits at a fixed interval. The first
 * payment is sent after a random delay, so that owners receive a steady flow
 * even if all daemons start together.
 */

/** Time between two payments of a daemon. */
export const PAYMENT_INTERVAL_MS = 800;

/** Sends payments until it is stopped. */
export class PaymentTimer {
  readonly #sendPayments: () => void;
  #timer: NodeJS.Timeout | undefined;

  constructor(sendPayments: () => void) {
    this.#sendPayments = sendPayments;
  }

  start(): void {
    this.#timer = setTimeout(() => {
      this.#sendPayments();
      this.#timer = setInterval(this.#sendPayments, PAYMENT_INTERVAL_MS);
    }, Math.random() * PAYMENT_INTERVAL_MS);
  }

  stop(): void {
    clearTimeout(this.#timer);
  }
}
