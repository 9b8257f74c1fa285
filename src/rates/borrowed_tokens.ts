/**
 * What a daemon borrowed for one customer: batches that expire, and the
 * tokens made of them. It remembers what became of each batch until its
 * lender knows it.
 */
import {isLoanValid, LOAN_LIFETIME_MS} from './escrow_rules.js';
import type {Settlement} from './messages.js';
import {MICROS_PER_TOKEN} from './micro_tokens.js';
import {EscrowToken, type TokenPart} from './token.js';

/** What a lender granted. */
export interface Batch {
  readonly loan: string;
  /** Where the lender is, `IP:PORT`. */
  readonly lender: string;
  /** When the ask was sent; monotonic clock, milliseconds. */
  readonly requestedAtMs: number;
  leftMicros: number;
  spentMicros: number;
  returnedMicros: number;
  /** Spent and returned, as the lender knows it. */
  acknowledgedMicros: number;
}

/** Time that a token must still have when a request gets it. */
const MIN_REMAINING_MS = 900;

/** The batches of one customer. */
export class BorrowedTokens {
  #batches: readonly Batch[] = [];

  /** Takes in a grant; a void one is dropped. */
  add(batch: Batch): void {
    if (!isLoanValid(batch.requestedAtMs, performance.now())) return;
    this.#batches = [...this.#batches, batch];
  }

  get isEmpty(): boolean {
    return this.#batches.length === 0;
  }

  /** Micro-tokens that requests can get now. */
  availableMicros(nowMs: number): number {
    return this.#usable(nowMs).reduce((sum, b) => sum + b.leftMicros, 0);
  }

  /** One token, or `undefined` if there isn't enough. */
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

  /** Gives back what is too old for requests; drops what is done. */
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

  /** What the lender of an address doesn't know yet. */
  settlementsFor(lender: string): readonly Settlement[] {
    return this.#unacknowledged()
      .filter(batch => batch.lender === lender)
      .map(({loan, spentMicros, returnedMicros}) => ({
        loan,
        spentMicros,
        returnedMicros,
      }));
  }

  /** Lenders that don't know everything yet. */
  lendersToSettle(): ReadonlySet<string> {
    return new Set(this.#unacknowledged().map(batch => batch.lender));
  }

  /** Notes that a lender has taken settlements in. */
  acknowledge(settlements: readonly Settlement[]): void {
    settlements.forEach(({loan, spentMicros, returnedMicros}) => {
      const batch = this.#batches.find(b => b.loan === loan);
      if (!batch) return;
      const told = spentMicros + returnedMicros;
      batch.acknowledgedMicros = Math.max(batch.acknowledgedMicros, told);
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
