/**
 * The budget of repeats of each service, shared by the fleet: repeats by a
 * share of the requests, and some beside it in each window.
 *
 * Each daemon makes tokens for the requests that it sees and for its own part
 * of the fixed number, and hands them to the owner of the service's budget,
 * where every repeat takes one. A token is made once and void soon after, so
 * the fleet stays within its budget whatever daemons believe about who owns
 * it: several owners at a time only have less each, and what is lost on the
 * way is not used.
 *
 * Pattern: links that lose packets, slow and restarting daemons, so that
 * daemons disagree on who can be reached, while instances fail many requests.
 */
import {FleetCount} from './fleet_count.js';
import {Owners, type OwnerCandidates} from './owners.js';
import {PaymentTimer} from './payment_timer.js';
import {TokenPool} from './token_pool.js';

/** Bounds that the operators state for repeats. */
export interface RepeatBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowS: number;
  /** Repeats in one window beside the ratio. */
  readonly slack: number;
}

/** Tokens, and for how many milliseconds they can still be used. */
export type TokenLot = readonly [tokens: number, leftMs: number];

/** What a daemon hands to the owner of a budget. */
export interface RepeatPayment {
  readonly service: string;
  /** Tokens made since the last payment. */
  readonly lots: readonly TokenLot[];
  /** Repeats that nobody asked for: calls that repeats make. */
  readonly spent: number;
}

/** Whether a repeat may be sent. */
export interface RepeatVerdict {
  readonly isGranted: boolean;
  /** The owner of the budget, as this daemon sees it. */
  readonly owner: string;
}

/** The daemons that share the budgets, as this one sees them. */
export interface BudgetPeers extends OwnerCandidates {
  /** How many daemons there are, with those out of reach; 0: not known yet. */
  count(): number;
  /** Pays and asks for one token; undefined if no answer came. */
  askRepeat(vm: string, payment: RepeatPayment): Promise<boolean | undefined>;
  /** Pays only. */
  pay(vm: string, payment: RepeatPayment): void;
}

/** What the budget is made from. */
export interface RepeatBudgetOptions {
  readonly peers: BudgetPeers;
  readonly bounds: RepeatBounds;
  /** Whether the fleet starts for the first time, with nothing spent. */
  readonly isFirstStart: boolean;
  /** The monotonic clock; tests play with their own. */
  readonly now?: () => number;
}

/**
 * How long tokens can be used, in milliseconds. Those for requests are many,
 * and the longer they last the fewer can be made; those of the fixed number
 * last longer, for services with few requests that fail all at once.
 */
const LIFETIME_MS = {requests: 2400, fixed: 5000} as const;
type TokenKind = keyof typeof LIFETIME_MS;
/** Part of the bounds that a window may use; the rest is for late arrivals. */
const USED_SHARE = 0.95;
/** A daemon without requests for a service makes no tokens after this. */
const IDLE_MS = 10_000;
/** How long after the first start nothing can have been spent. */
const FIRST_START_MS = 20_000;

/** What this daemon made for a service and hasn't paid yet. */
interface Unpaid {
  tokens: number;
  spent: number;
  /** Tokens of the fixed number from before the start. */
  isFirst: boolean;
  sinceMs: number;
  requestedAtMs: number;
}

/** The budgets as one daemon uses them. */
export class RepeatBudget {
  readonly #options: RepeatBudgetOptions;
  readonly #owners: Owners;
  readonly #now: () => number;
  readonly #unpaid = new Map<string, Unpaid>();
  /** Pools that this daemon keeps for others. */
  readonly #pools = new Map<string, TokenPool>();
  readonly #startedAtMs: number;
  readonly #count: FleetCount;
  readonly #timer = new PaymentTimer(() => this.payAll());

  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
    this.#owners = new Owners(options.peers);
    this.#now = options.now ?? (() => performance.now());
    this.#startedAtMs = this.#now();
    this.#count = new FleetCount(() => options.peers.count(), this.#now);
  }

  start(): void {
    this.#timer.start();
  }

  stop(): void {
    this.#timer.stop();
  }

  /** Counts a request for a service. */
  demand(service: string): void {
    const unpaid = this.#unpaidOf(service);
    const {ratio} = this.#options.bounds;
    unpaid.tokens += ratio * this.#madeShare('requests');
    unpaid.requestedAtMs = this.#now();
  }

  /** Notes a call that a repeat made; nobody can refuse it. */
  spend(service: string): void {
    this.#unpaidOf(service).spent += 1;
  }

  /** Takes a token for one repeat. */
  async take(service: string): Promise<RepeatVerdict> {
    const {peers} = this.#options;
    const owner = this.ownerOf(service);
    const payment = this.#payment(service);
    if (owner === peers.selfId) {
      return {isGranted: this.grant(payment), owner};
    }
    const isGranted = await peers.askRepeat(owner, payment);
    // Tokens on the way are lost, but not what was spent.
    if (isGranted === undefined) {
      this.#unpaidOf(service).spent += payment.spent;
    }
    return {isGranted: isGranted ?? false, owner};
  }

  /** Takes another daemon's payment in and gives one token for it, or none. */
  grant(payment: RepeatPayment): boolean {
    this.receive(payment);
    return this.#poolOf(payment.service).take(this.#now());
  }

  /** Takes another daemon's payment in. */
  receive({service, lots, spent}: RepeatPayment): void {
    const nowMs = this.#now();
    const pool = this.#poolOf(service);
    lots
      .filter(([tokens, leftMs]) => tokens > 0 && leftMs > 0)
      .forEach(([tokens, leftMs]) => pool.add(tokens, nowMs + leftMs, nowMs));
    if (spent > 0) pool.owe(spent, nowMs);
  }

  /** Hands over what was made since the last time. */
  payAll(): void {
    const {peers} = this.#options;
    const nowMs = this.#now();
    [...this.#unpaid]
      .filter(([, {requestedAtMs, spent}]) => {
        return nowMs - requestedAtMs > IDLE_MS && spent === 0;
      })
      .forEach(([service]) => this.#unpaid.delete(service));
    [...this.#unpaid.keys()].forEach(service => {
      const owner = this.ownerOf(service);
      const payment = this.#payment(service);
      if (owner === peers.selfId) this.receive(payment);
      else peers.pay(owner, payment);
    });
  }

  /** The daemon that keeps the budget of a service, as this one sees it. */
  ownerOf(service: string): string {
    return this.#owners.ownerOf(`repeats:${service}`);
  }

  /** What is unpaid, with the own part of the fixed number until now. */
  #payment(service: string): RepeatPayment {
    const unpaid = this.#unpaidOf(service);
    const nowMs = this.#now();
    const {requests, fixed} = LIFETIME_MS;
    const {tokens, spent, isFirst} = unpaid;
    const forMs = Math.min(fixed, nowMs - unpaid.sinceMs);
    const fixedPerMs = this.#fixedPerMs();
    const isPaidFirst = isFirst && fixedPerMs > 0;
    const paid = {tokens: 0, spent: 0, sinceMs: nowMs};
    Object.assign(unpaid, paid, {isFirst: isFirst && !isPaidFirst});
    const lots: readonly TokenLot[] = [
      [tokens, requests - forMs],
      [fixedPerMs * forMs, fixed - forMs],
      [isPaidFirst ? fixedPerMs * fixed : 0, fixed],
    ];
    return {service, lots: lots.filter(([made]) => made > 0), spent};
  }

  #unpaidOf(service: string): Unpaid {
    const known = this.#unpaid.get(service);
    if (known) return known;
    const nowMs = this.#now();
    const isNew = nowMs - this.#startedAtMs < FIRST_START_MS;
    const unpaid = {
      tokens: 0,
      spent: 0,
      isFirst: isNew && this.#options.isFirstStart,
      sinceMs: nowMs,
      requestedAtMs: nowMs,
    };
    this.#unpaid.set(service, unpaid);
    return unpaid;
  }

  /**
   * Part of the bounds that tokens are made for: a window may use what was
   * made in it and in one lifetime before it.
   */
  #madeShare(kind: TokenKind): number {
    const windowMs = this.#options.bounds.windowS * 1000;
    return USED_SHARE / (1 + LIFETIME_MS[kind] / windowMs);
  }

  #poolOf(service: string): TokenPool {
    const known = this.#pools.get(service);
    if (known) return known;
    const pool = new TokenPool();
    this.#pools.set(service, pool);
    return pool;
  }

  /** This daemon's part of the fixed number. */
  #fixedPerMs(): number {
    const {slack, windowS} = this.#options.bounds;
    const {daemons} = this.#count;
    if (daemons === 0) return 0;
    return (slack * this.#madeShare('fixed')) / (windowS * 1000 * daemons);
  }
}
