/**
 * The part of a retry budget that is kept for calls of instances. If a call
 * fails, the request that made it fails as well, and all work done for it is
 * lost; so calls are repeated first when tokens run low. Services that receive
 * no calls keep nothing back.
 *
 * Designed for instances that fail many requests at once, so that repeats of
 * ordinary requests leave no tokens for the few calls.
 */

/** After this time without a report of calls, nothing is kept back. */
const CALL_MEMORY_MS = 10_000;

interface IssuedLot {
  readonly tokens: number;
  readonly expiresAtMs: number;
}

/** The reserve in the pool of one service. */
export class CallReserve {
  readonly #share: number;
  /** Tokens that were issued and haven't expired, whether used or not. */
  #issued: readonly IssuedLot[] = [];
  #callsUntilMs = -Infinity;

  /** `share` is the reserved part of the tokens that can be used, 0 to 1. */
  constructor(share: number) {
    this.#share = share;
  }

  /** Records tokens that were added to the pool. */
  recordTokens(tokens: number, expiresAtMs: number, nowMs: number): void {
    if (this.#share === 0) return;
    this.#dropExpired(nowMs);
    this.#issued = [...this.#issued, {tokens, expiresAtMs}];
  }

  /** Records that the service receives calls. */
  recordCalls(nowMs: number): void {
    this.#callsUntilMs = nowMs + CALL_MEMORY_MS;
  }

  /** Tokens that repeats of ordinary requests leave in the pool. */
  tokensAt(nowMs: number): number {
    if (nowMs >= this.#callsUntilMs) return 0;
    this.#dropExpired(nowMs);
    const issued = this.#issued.reduce((sum, {tokens}) => sum + tokens, 0);
    return this.#share * issued;
  }

  #dropExpired(nowMs: number): void {
    this.#issued = this.#issued.filter(lot => lot.expiresAtMs > nowMs);
  }
}
