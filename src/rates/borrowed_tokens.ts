/**
 * Tokens that a daemon has borrowed for one customer. They arrive in batches,
 * one per loan, which expire. The spent and returned amounts of each batch are
 * reported to its lender until the lender acknowledges them.
 */
import {isLoanValid, LOAN_LIFETIME_MS} from './escrow_rules.js';
import type {Settlement} from './messages.js';
import {MICROS_PER_TOKEN} from './micro_tokens.js';
import {EscrowToken, type TokenPart} from './token.js';

/** Tokens of one loan. */
export interface Batch {
  readonly loan: string;
  /** Address of the lender, `IP:PORT`. */
  readonly lender: string;
  /** When the loan was requested; monotonic clock, milliseconds. */
  readonly requestedAtMs: number;
  leftMicros: number;
  spentMicros: number;
  returnedMicros: number;
  /** Spent and returned micro-tokens that the lender has acknowledged. */
  acknowledgedMicros: number;
}

/** Minimum remaining lifetime of a token that is given to a request. */
const MIN_REMAINING_MS = 900;

/** Batches borrowed for one customer. */
export class BorrowedTokens {
  #batches: readonly Batch[] = [];

  /** Adds a granted batch unless it has expired. */
  add(batch: Batch): void {
    if (!isLoanValid(batch.requestedAtMs, performance.now())) return;
    this.#batches = [...this.#batches, batch];
  }

  get isEmpty(): boolean {
    return this.#batches.length === 0;
  }

  /** Micro-tokens that requests can use now. */
  availableMicros(nowMs: number): number {
    return this.#usable(nowMs).reduce((sum, b) => sum + b.leftMicros, 0);
  }

  /** Takes one token; `undefined` if too few micro-tokens are available. */
  take(nowMs: number): EscrowToken | undefined {
    if (this.availableMicros(nowMs) < MICROS_PER_TOKEN) return undefined;
    let missing = MICROS_PER_TOKEN;
    const parts = this.#usable(nowMs).map((batch): TokenPart => {
      const micros = Math.min(missing, batch.leftMicros);
      batch.leftMicros -= micros;
      missing -= micros;
      return {batch, micros};
    });
    return new EscrowToken(parts.filter(part => part.micros > 0));
  }

  /** Returns tokens too old for requests; removes expired batches. */
  sweep(nowMs: number): void {
    this.#batches
      .filter(batch => !hasTimeLeft(batch, nowMs))
      .forEach(batch => {
        batch.returnedMicros += batch.leftMicros;
        batch.leftMicros = 0;
      });
    this.#batches = this.#batches.filter(batch =>
      isLoanValid(batch.requestedAtMs, nowMs),
    );
  }

  /** Settlements that the lender at this address has not acknowledged. */
  settlementsFor(lender: string): readonly Settlement[] {
    return this.#unacknowledged()
      .filter(batch => batch.lender === lender)
      .map(({loan, spentMicros, returnedMicros}) => ({
        loan,
        spentMicros,
        returnedMicros,
      }));
  }

  /** Addresses of lenders with unacknowledged settlements. */
  lendersToSettle(): ReadonlySet<string> {
    return new Set(this.#unacknowledged().map(batch => batch.lender));
  }

  /** Records that a lender has applied these settlements. */
  acknowledge(settlements: readonly Settlement[]): void {
    settlements.forEach(({loan, spentMicros, returnedMicros}) => {
      const batch = this.#batches.find(b => b.loan === loan);
      if (!batch) return;
      const acknowledged = spentMicros + returnedMicros;
      batch.acknowledgedMicros = Math.max(
        batch.acknowledgedMicros,
        acknowledged,
      );
    });
  }

  #unacknowledged(): readonly Batch[] {
    return this.#batches.filter(
      batch =>
        batch.spentMicros + batch.returnedMicros > batch.acknowledgedMicros,
    );
  }

  #usable(nowMs: number): readonly Batch[] {
    return this.#batches.filter(
      batch => batch.leftMicros > 0 && hasTimeLeft(batch, nowMs),
    );
  }
}

function hasTimeLeft(batch: Batch, nowMs: number): boolean {
  const leftMs = batch.requestedAtMs + LOAN_LIFETIME_MS - nowMs;
  return leftMs >= MIN_REMAINING_MS;
}
