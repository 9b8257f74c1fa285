/**
 * Limits customers to their rates across the whole fleet by escrow: every
 * share of a customer's rate is owned by one daemon, its holder. Other daemons
 * get tokens only as loans, which are deducted before they are sent and which
 * expire. docs/proofs/rates.md shows why no window of time can see more
 * requests than burst plus rate times the length of the window.
 */
import {randomUUID} from 'node:crypto';
import type {Customer} from '../configuration/records.js';
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import {
  isSameDaemon,
  type Generation,
  type GenerationMember,
  type Generations,
  type Vouches,
} from '../member/generation.js';
import type {Links} from '../member/links.js';
import {Account} from './account.js';
import {Lender} from './lender.js';
import type {Admission, RateLimiter} from './limiter.js';
import type {DrawReply, DrawRequest} from './messages.js';
import {BorrowedTokens} from './borrowed_tokens.js';
import type {CustomerRate, Holder} from './shares.js';

/** Options of {@link EscrowLimiter}. */
export interface EscrowOptions {
  readonly self: GenerationMember;
  readonly links: Links;
  readonly generations: Generations;
  readonly vouches: Vouches;
  readonly customer: (id: string) => CustomerRate | undefined;
  readonly log: Logger;
}

const DRAW_TIMEOUT_MS = 500;
const SETTLE_TIMEOUT_MS = 400;
const SETTLE_INTERVAL_MS = 100;
const ACCOUNT_IDLE_MS = 60_000;
const NO_GENERATION_RETRY_AFTER_MS = 1000;

/** The escrow of one daemon, which is both lender and borrower. */
export class EscrowLimiter implements RateLimiter {
  readonly #options: EscrowOptions;
  readonly #lender: Lender;
  readonly #accounts = new Map<string, Account>();
  /** Keeps loan ids of different processes with the same daemon id apart. */
  readonly #processId = randomUUID();
  #nextLoanNumber = 1;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: EscrowOptions) {
    this.#options = options;
    this.#lender = new Lender(options);
    options.links.handle('rates.draw', req => this.#lender.draw(req));
    options.links.handle('rates.settle', ({customer, settlements}) => {
      this.#lender.settle(customer, settlements);
      return {};
    });
  }

  start(): void {
    this.#timer = setInterval(() => this.#sweep(), SETTLE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  admit(customer: Customer): Promise<Admission> {
    const generation = this.#options.generations.current();
    if (generation && generation.members.length > 0) {
      return this.#accountOf(customer, generation).admit();
    }
    return Promise.resolve({
      admitted: false,
      reason: 'rate-unknown',
      retryAfterMs: NO_GENERATION_RETRY_AFTER_MS,
    });
  }

  #accountOf(customer: Customer, generation: Generation): Account {
    const known = this.#accounts.get(customer.id);
    if (known?.matches(customer, generation)) return known;
    const {id, ratePerSecond, burst} = customer;
    const account = new Account({
      customer: {id, ratePerSecond, burst},
      generation,
      borrowed: known?.borrowed ?? new BorrowedTokens(),
      draw: (holder, req) => this.#draw(holder, req),
      distance: holder => this.#distance(holder),
      nextLoanId: () => `${this.#processId}/${this.#nextLoanNumber++}`,
    });
    this.#accounts.set(id, account);
    return account;
  }

  #distance({member}: Holder): number {
    const {self} = this.#options;
    if (isSameDaemon(member, self)) return 0;
    return member.failureDomain === self.failureDomain ? 1 : 2;
  }

  #draw({member}: Holder, req: DrawRequest): Promise<DrawReply> {
    const {self, links} = this.#options;
    if (isSameDaemon(member, self)) {
      return Promise.resolve(this.#lender.draw(req));
    }
    return links.call(member.peersAddress, 'rates.draw', req, DRAW_TIMEOUT_MS);
  }

  #sweep(): void {
    const nowMs = performance.now();
    this.#accounts.forEach((account, id) => {
      account.borrowed.sweep(nowMs);
      account.borrowed
        .lendersToSettle()
        .forEach(lender => void this.#sendSettlements(id, account, lender));
      const idle = account.idleMs(nowMs) > ACCOUNT_IDLE_MS;
      if (idle && account.borrowed.isEmpty) this.#accounts.delete(id);
    });
  }

  /** Reports to a lender how much of its loans was spent and returned. */
  async #sendSettlements(customer: string, account: Account, lender: string) {
    const {self, links, log} = this.#options;
    const settlements = account.borrowed.settlementsFor(lender);
    if (lender === self.peersAddress) {
      this.#lender.settle(customer, settlements);
      account.borrowed.acknowledge(settlements);
      return;
    }
    try {
      const message = {customer, settlements};
      await links.call(lender, 'rates.settle', message, SETTLE_TIMEOUT_MS);
      account.borrowed.acknowledge(settlements);
    } catch (err) {
      log.debug(`Settlement with lender ${lender} failed: ${reasonOf(err)}.`);
    }
  }
}
