/**
 * The loans granted from one bucket. At most one loan is granted for each id.
 * Loans are settled by cumulative amounts, so that settlements may arrive
 * twice or out of order, and lapse once the borrower can no longer spend them.
 */
import type {Bucket} from './bucket.js';
import {LOAN_LAPSE_MS} from './escrow_rules.js';
import type {Settlement} from './messages.js';

interface Loan {
  readonly grantedMicros: number;
  readonly lapsesAtMs: number;
  readonly spentMicros: number;
  readonly returnedMicros: number;
}

/** Loans granted from one bucket. */
export class Loans {
  readonly #bucket: Bucket;
  /** By loan id, in the order of the grants. */
  readonly #loans = new Map<string, Loan>();

  constructor(bucket: Bucket) {
    this.#bucket = bucket;
  }

  /** Lends up to `wanted` micro-tokens; 0 if the id has been granted before. */
  grant(id: string, wanted: number, nowMs: number): number {
    if (this.#loans.has(id)) return 0;
    const grantedMicros = this.#bucket.take(wanted, nowMs);
    this.#loans.set(id, {
      grantedMicros,
      lapsesAtMs: nowMs + LOAN_LAPSE_MS,
      spentMicros: 0,
      returnedMicros: 0,
    });
    return grantedMicros;
  }

  /** Applies a borrower's settlement of a loan. */
  settle(settlement: Settlement, nowMs: number): void {
    const loan = this.#loans.get(settlement.loan);
    if (!loan) return;
    const spent = Math.max(0, settlement.spentMicros - loan.spentMicros);
    const returned = Math.max(
      0,
      settlement.returnedMicros - loan.returnedMicros,
    );
    if (spent + returned > outstandingMicros(loan)) return;
    this.#bucket.settle(spent, nowMs);
    this.#bucket.refund(returned, nowMs);
    this.#loans.set(settlement.loan, {
      ...loan,
      spentMicros: loan.spentMicros + spent,
      returnedMicros: loan.returnedMicros + returned,
    });
  }

  /** Removes lapsed loans; their unsettled tokens are lost. */
  sweep(nowMs: number): void {
    for (const [id, loan] of this.#loans) {
      if (loan.lapsesAtMs > nowMs) return;
      this.#bucket.settle(outstandingMicros(loan), nowMs);
      this.#loans.delete(id);
    }
  }
}

function outstandingMicros(loan: Loan): number {
  return loan.grantedMicros - loan.spentMicros - loan.returnedMicros;
}
