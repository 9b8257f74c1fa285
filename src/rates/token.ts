/** A token of the escrow, composed of parts of borrowed batches. */
import {isLoanValid, LOAN_LIFETIME_MS} from './escrow_rules.js';
import type {RateToken} from './limiter.js';
import type {Batch} from './borrowed_tokens.js';

/** The amount that a token takes from one batch. */
export interface TokenPart {
  readonly batch: Batch;
  readonly micros: number;
}

/** A token for one request, spent at most once. */
export class EscrowToken implements RateToken {
  readonly expiresAtMs: number;
  readonly #parts: readonly TokenPart[];
  readonly #requestedAtMs: number;
  #state: 'open' | 'delegated' | 'done' = 'open';

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
    this.#state = 'delegated';
    return true;
  }

  confirm(): void {
    if (this.#state === 'delegated') this.#markSpent();
  }

  reclaim(): void {
    if (this.#state === 'delegated') this.#state = 'open';
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
