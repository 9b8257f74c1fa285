/** A token of the escrow, put together from parts of batches. */
import {isLoanValid, LOAN_LIFETIME_MS} from './escrow_rules.js';
import type {RateToken} from './limiter.js';
import type {Batch} from './borrowed_tokens.js';

/** What a token took of a batch. */
export interface TokenPart {
  readonly batch: Batch;
  readonly micros: number;
}

/** One token; it is spent at most once. */
export class EscrowToken implements RateToken {
  readonly expiresAtMs: number;
  readonly #parts: readonly TokenPart[];
  readonly #requestedAtMs: number;
  #state: 'open' | 'away' | 'done' = 'open';

  constructor(parts: readonly TokenPart[]) {
    this.#parts = parts;
    this.#requestedAtMs = Math.min(
      ...parts.map(({batch}) => batch.requestedAtMs),
    );
    this.expiresAtMs = this.#requestedAtMs + LOAN_LIFETIME_MS;
  }

  spend(): boolean {
    if (this.#state !== 'open' || !this.#isValid()) return false;
    this.#markSpent();
    return true;
  }

  release(): void {
    if (this.#state !== 'open') return;
    this.#state = 'done';
    this.#parts.forEach(({batch, micros}) => {
      batch.leftMicros += micros;
    });
  }

  delegate(): boolean {
    if (this.#state !== 'open' || !this.#isValid()) return false;
    this.#state = 'away';
    return true;
  }

  confirm(): void {
    if (this.#state === 'away') this.#markSpent();
  }

  reclaim(): void {
    if (this.#state === 'away') this.#state = 'open';
  }

  #isValid(): boolean {
    return isLoanValid(this.#requestedAtMs, performance.now());
  }

  #markSpent(): void {
    this.#state = 'done';
    this.#parts.forEach(({batch, micros}) => {
      batch.spentMicros += micros;
    });
  }
}
