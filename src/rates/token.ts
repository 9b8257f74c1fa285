/** A token of the escrow, put together from parts of batches. */
import {isLoanValid, LOAN_LIFETIME_MS} from './escrow_rules.js';
import type {RateToken} from './limiter.js';
import type {Batch} from './pocket.js';

/** What a token took of a batch. */
export interface TokenPart {
  readonly batch: Batch;
  readonly micros: number;
}

/** One token; it is spent at most once. */
export class EscrowToken implements RateToken {
  readonly expiresAtMs: number;
  readonly #parts: readonly TokenPart[];
  readonly #askedAtMs: number;
  #state: 'open' | 'away' | 'done' = 'open';

  constructor(parts: readonly TokenPart[]) {
    this.#parts = parts;
    this.#askedAtMs = Math.min(...parts.map(({batch}) => batch.askedAtMs));
    this.expiresAtMs = this.#askedAtMs + LOAN_LIFETIME_MS;
  }

  spend(): boolean {
    if (this.#state !== 'open' || !this.#isValid()) return false;
    this.#end();
    return true;
  }

  giveBack(): void {
    if (this.#state !== 'open') return;
    this.#state = 'done';
    this.#parts.forEach(({batch, micros}) => {
      batch.leftMicros += micros;
    });
  }

  handOver(): boolean {
    if (this.#state !== 'open' || !this.#isValid()) return false;
    this.#state = 'away';
    return true;
  }

  confirm(): void {
    if (this.#state === 'away') this.#end();
  }

  takeBack(): void {
    if (this.#state === 'away') this.#state = 'open';
  }

  #isValid(): boolean {
    return isLoanValid(this.#askedAtMs, performance.now());
  }

  #end(): void {
    this.#state = 'done';
    this.#parts.forEach(({batch, micros}) => {
      batch.spentMicros += micros;
    });
  }
}
