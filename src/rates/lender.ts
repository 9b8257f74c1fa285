/**
 * The holder's side of the escrow: owns the shares of customers' rates that
 * the generation (a numbered list of the fleet's daemons) assigns to it, and
 * lends from them while the witnesses' vouch for the generation is valid.
 */
import type {
  DaemonIdentity,
  Generation,
  Generations,
  Vouches,
} from '../member/generation.js';
import {Bucket} from './bucket.js';
import {mayGrant, usableShare} from './escrow_rules.js';
import {Loans} from './loans.js';
import type {DrawReply, DrawRequest, Settlement} from './messages.js';
import {NO_SHARE, minShare, type Share} from './micro_tokens.js';
import {refillStartMs} from './refill_start.js';
import {
  holdersOf,
  maxLoanMicros,
  shareOf,
  type CustomerRate,
} from './shares.js';

/** Options of {@link Lender}. */
export interface LenderOptions {
  readonly self: DaemonIdentity;
  readonly generations: Generations;
  readonly vouches: Vouches;
  readonly customer: (id: string) => CustomerRate | undefined;
}

/** This daemon's share of one customer's rate. */
interface Holding {
  readonly bucket: Bucket;
  readonly loans: Loans;
  /** The shares, and the last change of the customer's rate. */
  terms: Terms;
}

interface Terms {
  readonly generation: Generation;
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly previousShare: Share;
  readonly currentShare: Share;
  /** Share under the customer's previous rate. */
  readonly previousRateShare: Share;
  readonly rateChangedAtMs: number;
}

/**
 * Time after which all daemons have a changed rate in force and none uses a
 * vouch from before the change.
 */
const RATE_CHANGE_SPREAD_MS = 7000;

const NO_GRANT: DrawReply = {
  grants: false,
  grantedMicros: 0,
  balanceMicros: 0,
  rateMicros: 0,
};

/** Lends tokens from this daemon's shares. */
export class Lender {
  readonly #options: LenderOptions;
  readonly #startedAtMs = performance.now();
  readonly #holdings = new Map<string, Holding>();

  constructor(options: LenderOptions) {
    this.#options = options;
  }

  /** Answers a draw; grants at most the balance of the bucket. */
  draw(req: DrawRequest): DrawReply {
    const nowMs = performance.now();
    const holding = this.#holdingOf(req.customer, nowMs);
    if (!holding) return NO_GRANT;
    this.#settle(holding, req.settlements, nowMs);
    const {bucket, loans} = holding;
    const {burstMicros, rateMicros} = bucket.share;
    if (burstMicros === 0 || nowMs < bucket.refillsFromMs) return NO_GRANT;
    const wanted = Math.min(req.wantedMicros, maxLoanMicros(bucket.share));
    const grantedMicros = loans.grant(req.loan, wanted, nowMs);
    const balanceMicros = bucket.availableMicros(nowMs);
    return {grants: true, grantedMicros, balanceMicros, rateMicros};
  }

  /** Applies settlements, even if this daemon may not grant now. */
  settle(customer: string, settlements: readonly Settlement[]): void {
    const holding = this.#holdings.get(customer);
    if (holding) this.#settle(holding, settlements, performance.now());
  }

  #settle(
    holding: Holding,
    settlements: readonly Settlement[],
    nowMs: number,
  ): void {
    settlements.forEach(settlement => holding.loans.settle(settlement, nowMs));
    holding.loans.sweep(nowMs);
  }

  /** The holding under the current terms; `undefined` if it may not grant. */
  #holdingOf(id: string, nowMs: number): Holding | undefined {
    const {generations, vouches} = this.#options;
    const generation = generations.current();
    const customer = this.#options.customer(id);
    if (!generation || !customer) return undefined;
    if (!mayGrant(vouches.current(), generation.number)) return undefined;
    const existing = this.#holdings.get(id);
    const terms = this.#termsOf(customer, generation, existing?.terms, nowMs);
    const share = this.#usableShare(terms, nowMs);
    const holding = existing ?? this.#create(id, terms, share);
    holding.terms = terms;
    if (!isSameShare(holding.bucket.share, share)) {
      holding.bucket.setShare(share, nowMs);
    }
    return holding;
  }

  #create(id: string, terms: Terms, share: Share): Holding {
    const bucket = new Bucket(share, this.#refillStartMs());
    const holding = {bucket, loans: new Loans(bucket), terms};
    this.#holdings.set(id, holding);
    return holding;
  }

  #refillStartMs(): number {
    const {generations} = this.#options;
    return refillStartMs({
      nowMs: performance.now(),
      processStartedAtMs: this.#startedAtMs,
      movedDutiesFromMs: generations.movedDutiesFromMs(),
    });
  }

  #usableShare(terms: Terms, nowMs: number): Share {
    const movedDutiesFromMs = this.#options.generations.movedDutiesFromMs();
    const times = {nowMs, movedDutiesFromMs};
    const share = usableShare(terms.previousShare, terms.currentShare, times);
    if (nowMs >= terms.rateChangedAtMs + RATE_CHANGE_SPREAD_MS) return share;
    return minShare(share, terms.previousRateShare);
  }

  #termsOf(
    customer: CustomerRate,
    generation: Generation,
    last: Terms | undefined,
    nowMs: number,
  ): Terms {
    const {ratePerSecond, burst} = customer;
    const isSameRate =
      last?.ratePerSecond === ratePerSecond && last.burst === burst;
    if (last && isSameRate && last.generation === generation) return last;
    const {self, generations} = this.#options;
    const previous = generations.previous();
    const share = (g: Generation) => shareOf(holdersOf(customer, g), self);
    const currentShare = share(generation);
    const isRateChanged = last !== undefined && !isSameRate;
    return {
      generation,
      ratePerSecond,
      burst,
      previousShare: previous ? share(previous) : NO_SHARE,
      currentShare,
      previousRateShare: isRateChanged
        ? last.currentShare
        : (last?.previousRateShare ?? currentShare),
      rateChangedAtMs: isRateChanged
        ? nowMs
        : (last?.rateChangedAtMs ?? -RATE_CHANGE_SPREAD_MS),
    };
  }
}

function isSameShare(a: Share, b: Share): boolean {
  return a.rateMicros === b.rateMicros && a.burstMicros === b.burstMicros;
}
