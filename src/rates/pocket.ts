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
  readonly askedAtMs: number;
  leftMicros: number;
  spentMicros: number;
  returnedMicros: number;
  /** Spent and returned, as the lender knows it. */
  toldMicros: number;
}

/** Time that a token must still have when a request gets it. */
const LEAST_LEFT_MS = 900;

/** The batches of one customer. */
export class Pocket {
  #batches: readonly Batch[] = [];

  /** Takes in a grant; a void one is dropped. */
  add(batch: Batch): void {
    if (!isLoanValid(batch.askedAtMs, performance.now())) return;
    this.#batches = [...this.#batches, batch];
  }

  get isEmpty(): boolean {
    return this.#batches.length === 0;
  }

  /** Micro-tokens that requests can get now. */
  left(nowMs: number): number {
    return this.#usable(nowMs).reduce((sum, b) => sum + b.leftMicros, 0);
  }

  /** One token, or `undefined` if there isn't enough. */
  take(nowMs: number): EscrowToken | undefined {
    if (this.left(nowMs) < MICROS_PER_TOKEN) return undefined;
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
      .filter(batch => !hasLife(batch, nowMs))
      .forEach(batch => {
        batch.returnedMicros += batch.leftMicros;
        batch.leftMicros = 0;
      });
    this.#batches = this.#batches.filter(batch =>
      isLoanValid(batch.askedAtMs, nowMs),
    );
  }

  /** What the lender of an address doesn't know yet. */
  settlementsFor(lender: string): readonly Settlement[] {
    return this.#untold()
      .filter(batch => batch.lender === lender)
      .map(({loan, spentMicros, returnedMicros}) => ({
        loan,
        spentMicros,
        returnedMicros,
      }));
  }

  /** Lenders that don't know everything yet. */
  lendersToTell(): ReadonlySet<string> {
    return new Set(this.#untold().map(batch => batch.lender));
  }

  /** Notes that a lender has taken settlements in. */
  told(settlements: readonly Settlement[]): void {
    settlements.forEach(({loan, spentMicros, returnedMicros}) => {
      const batch = this.#batches.find(b => b.loan === loan);
      if (!batch) return;
      const told = spentMicros + returnedMicros;
      batch.toldMicros = Math.max(batch.toldMicros, told);
    });
  }

  #untold(): readonly Batch[] {
    return this.#batches.filter(
      batch => batch.spentMicros + batch.returnedMicros > batch.toldMicros,
    );
  }

  #usable(nowMs: number): readonly Batch[] {
    return this.#batches.filter(
      batch => batch.leftMicros > 0 && hasLife(batch, nowMs),
    );
  }
}

function hasLife(batch: Batch, nowMs: number): boolean {
  const leftMs = batch.askedAtMs + LOAN_LIFETIME_MS - nowMs;
  return leftMs >= LEAST_LEFT_MS;
}
