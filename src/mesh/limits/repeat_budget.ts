/**
 * The retry budget of each service, shared by the fleet. In each window, the
 * number of repeats (requests sent to a further instance) may be a ratio of
 * the number of requests plus a fixed number.
 *
 * Each daemon issues tokens for the requests that it receives and for its part
 * of the fixed number. It pays them to the owner of the service's budget, and
 * every repeat takes a token from that owner. A token is issued once and
 * expires soon, so the fleet stays within its budget even if daemons disagree
 * about the owner: several owners at the same time just have fewer tokens
 * each, and tokens lost in transit are not used.
 *
 * Designed for links that lose packets and for slow or restarting daemons, so
 * that daemons disagree about who is reachable, while instances fail many
 * requests.
 */
import {CallReserve} from './call_reserve.js';
import {FleetCount} from './fleet_count.js';
import {OwnerSelector, type OwnerCandidates} from './owner_selector.js';
import {PaymentTimer} from './payment_timer.js';
import {TokenPool} from './token_pool.js';

/** Bounds on repeats, configured by the operators. */
export interface RepeatBounds {
  /** Allowed repeats per request. */
  readonly ratio: number;
  readonly windowS: number;
  /** Allowed repeats per window in addition to the ratio. */
  readonly slack: number;
  /** Part of the tokens that is kept for calls of instances; 0 if omitted. */
  readonly callReserve?: number;
}

/** A number of tokens and the time until they expire. */
export type TokenLot = readonly [tokens: number, leftMs: number];

/** A payment of one daemon to the owner of a budget. */
export interface RepeatPayment {
  readonly service: string;
  /** Tokens issued since the last payment. */
  readonly lots: readonly TokenLot[];
  /** Repeats sent without taking a token: calls that repeats make. */
  readonly spent: number;
  /**
   * Whether the token is for a call of an instance, and whether such calls were
   * counted since the last payment. Left out otherwise, so that the frame keeps
   * its shape; daemons that don't know these fields skip them.
   */
  readonly isForCall?: true;
  readonly hasCalls?: true;
  /**
   * Tokens that must be left after this one, for repeats that are more urgent.
   * Owners of earlier versions ignore it.
   */
  readonly spareTokens?: number;
}

/** How urgent a repeat is, compared with others of its service. */
export interface RepeatUrgency {
  /** Whether it is a call of an instance. */
  readonly isCall?: boolean;
  /** Tokens that it must leave to repeats that are more urgent. */
  readonly spareTokens?: number;
}

/** The decision whether a repeat may be sent. */
export interface RepeatDecision {
  readonly isGranted: boolean;
  /** The owner of the budget according to this daemon. */
  readonly owner: string;
}

/** The daemons that share the budgets, from this daemon's point of view. */
export interface BudgetPeers extends OwnerCandidates {
  /** Number of daemons, also unreachable ones; 0 while it is unknown. */
  count(): number;
  /** Pays and requests one token; undefined if there is no answer. */
  requestRepeat(
    vm: string,
    payment: RepeatPayment,
  ): Promise<boolean | undefined>;
  /** Pays without requesting a token. */
  pay(vm: string, payment: RepeatPayment): void;
}

/** Options of {@link RepeatBudget}. */
export interface RepeatBudgetOptions {
  readonly peers: BudgetPeers;
  readonly bounds: RepeatBounds;
  /** Whether the fleet starts for the first time: no tokens are used yet. */
  readonly isFirstStart: boolean;
  /** Monotonic clock in milliseconds; tests use a virtual one. */
  readonly now?: () => number;
}

/**
 * How long tokens can be used. There are many tokens for requests, and the
 * longer they last, the fewer can be issued. The tokens of the fixed number
 * last longer, for services with few requests that all fail at once.
 */
const TOKEN_LIFETIME_MS = {requests: 2400, fixed: 5000} as const;
type TokenKind = keyof typeof TOKEN_LIFETIME_MS;
/** Share of the bounds that a window may use; the rest is for late arrivals. */
const USABLE_SHARE = 0.95;
/** After this time without requests, a daemon stops issuing tokens. */
const IDLE_TIMEOUT_MS = 10_000;
/** Time after the fleet's first start in which no tokens can have been used. */
const FIRST_START_PERIOD_MS = 20_000;

/** Tokens and charges of one service that this daemon hasn't paid yet. */
interface UnpaidTokens {
  tokens: number;
  spent: number;
  /** Whether the fixed tokens for the time before the start are due. */
  isInitialDue: boolean;
  hasCalls: boolean;
  sinceMs: number;
  lastRequestAtMs: number;
}

/** The budget of one service at its owner. */
interface OwnedBudget {
  readonly pool: TokenPool;
  readonly reserve: CallReserve;
}

/** One daemon's view of the budgets of all services. */
export class RepeatBudget {
  readonly #options: RepeatBudgetOptions;
  readonly #ownerSelector: OwnerSelector;
  readonly #now: () => number;
  readonly #unpaid = new Map<string, UnpaidTokens>();
  /** The budgets that this daemon owns. */
  readonly #owned = new Map<string, OwnedBudget>();
  readonly #startedAtMs: number;
  readonly #fleetSize: FleetCount;
  readonly #timer = new PaymentTimer(() => this.sendPayments());

  constructor(options: RepeatBudgetOptions) {
    this.#options = options;
    this.#ownerSelector = new OwnerSelector(options.peers);
    this.#now = options.now ?? (() => performance.now());
    this.#startedAtMs = this.#now();
    this.#fleetSize = new FleetCount(() => options.peers.count(), this.#now);
  }

  start(): void {
    this.#timer.start();
  }

  stop(): void {
    this.#timer.stop();
  }

  /** Counts a request to a service and issues tokens for it. */
  countRequest(service: string, isCall = false): void {
    const unpaid = this.#unpaidOf(service);
    unpaid.hasCalls ||= isCall && this.#callReserve > 0;
    const {ratio} = this.#options.bounds;
    unpaid.tokens += ratio * this.#issuedShare('requests');
    unpaid.lastRequestAtMs = this.#now();
  }

  /** Charges a call that a repeat made; such a call can't be refused. */
  chargeCall(service: string): void {
    this.#unpaidOf(service).spent += 1;
  }

  /** Takes a token for one repeat from the owner of the budget. */
  async take(
    service: string,
    {isCall = false, spareTokens = 0}: RepeatUrgency = {},
  ): Promise<RepeatDecision> {
    const {peers} = this.#options;
    const owner = this.ownerOf(service);
    const isForCall = isCall && this.#callReserve > 0;
    // The usual payment has no further field, and so keeps its shape.
    const payment = {
      ...this.#collectPayment(service),
      ...(isForCall && {isForCall}),
      ...(spareTokens > 0 && {spareTokens}),
    };
    if (owner === peers.selfId) {
      return {isGranted: this.grant(payment), owner};
    }
    const isGranted = await peers.requestRepeat(owner, payment);
    // The tokens in this payment are lost, but the charges are sent again.
    if (isGranted === undefined) {
      this.#unpaidOf(service).spent += payment.spent;
    }
    return {isGranted: isGranted ?? false, owner};
  }

  /** Records another daemon's payment and grants it a token if there is one. */
  grant(payment: RepeatPayment): boolean {
    this.receivePayment(payment);
    const nowMs = this.#now();
    const {pool, reserve} = this.#ownedOf(payment.service);
    const {isForCall, spareTokens = 0} = payment;
    const reserved = isForCall === true ? 0 : reserve.tokensAt(nowMs);
    return pool.take(nowMs, reserved + spareTokens);
  }

  /** Records another daemon's payment. */
  receivePayment({service, lots, spent, hasCalls}: RepeatPayment): void {
    const nowMs = this.#now();
    const {pool, reserve} = this.#ownedOf(service);
    if (hasCalls === true) reserve.recordCalls(nowMs);
    lots
      .filter(([tokens, leftMs]) => tokens > 0 && leftMs > 0)
      .forEach(([tokens, leftMs]) => {
        pool.add(tokens, nowMs + leftMs, nowMs);
        reserve.recordTokens(tokens, nowMs + leftMs, nowMs);
      });
    if (spent > 0) pool.charge(spent, nowMs);
  }

  /** Pays everything that was issued and charged since the last payment. */
  sendPayments(): void {
    const {peers} = this.#options;
    const nowMs = this.#now();
    [...this.#unpaid]
      .filter(([, {lastRequestAtMs, spent}]) => {
        return nowMs - lastRequestAtMs > IDLE_TIMEOUT_MS && spent === 0;
      })
      .forEach(([service]) => this.#unpaid.delete(service));
    [...this.#unpaid.keys()].forEach(service => {
      const owner = this.ownerOf(service);
      const payment = this.#collectPayment(service);
      if (owner === peers.selfId) this.receivePayment(payment);
      else peers.pay(owner, payment);
    });
  }

  /** The owner of a service's budget according to this daemon. */
  ownerOf(service: string): string {
    return this.#ownerSelector.ownerOf(`repeats:${service}`);
  }

  /**
   * Collects what is unpaid, including this daemon's part of the fixed number
   * until now, and resets it.
   */
  #collectPayment(service: string): RepeatPayment {
    const unpaid = this.#unpaidOf(service);
    const nowMs = this.#now();
    const {requests, fixed} = TOKEN_LIFETIME_MS;
    const {tokens, spent, isInitialDue, hasCalls} = unpaid;
    const elapsedMs = Math.min(fixed, nowMs - unpaid.sinceMs);
    const fixedPerMs = this.#fixedPerMs();
    const isInitialPaid = isInitialDue && fixedPerMs > 0;
    const reset = {tokens: 0, spent: 0, hasCalls: false, sinceMs: nowMs};
    Object.assign(unpaid, reset, {
      isInitialDue: isInitialDue && !isInitialPaid,
    });
    const lots: readonly TokenLot[] = [
      [tokens, requests - elapsedMs],
      [fixedPerMs * elapsedMs, fixed - elapsedMs],
      [isInitialPaid ? fixedPerMs * fixed : 0, fixed],
    ];
    const payment = {service, lots: lots.filter(([count]) => count > 0), spent};
    return hasCalls ? {...payment, hasCalls} : payment;
  }

  #unpaidOf(service: string): UnpaidTokens {
    const known = this.#unpaid.get(service);
    if (known) return known;
    const nowMs = this.#now();
    const isInStartPeriod = nowMs - this.#startedAtMs < FIRST_START_PERIOD_MS;
    const unpaid = {
      tokens: 0,
      spent: 0,
      hasCalls: false,
      isInitialDue: isInStartPeriod && this.#options.isFirstStart,
      sinceMs: nowMs,
      lastRequestAtMs: nowMs,
    };
    this.#unpaid.set(service, unpaid);
    return unpaid;
  }

  /**
   * Share of the bounds for which tokens are issued. A window can use the
   * tokens that were issued in it and in one token lifetime before it.
   */
  #issuedShare(kind: TokenKind): number {
    const windowMs = this.#options.bounds.windowS * 1000;
    return USABLE_SHARE / (1 + TOKEN_LIFETIME_MS[kind] / windowMs);
  }

  #ownedOf(service: string): OwnedBudget {
    const known = this.#owned.get(service);
    if (known) return known;
    const reserve = new CallReserve(this.#callReserve);
    const owned = {pool: new TokenPool(), reserve};
    this.#owned.set(service, owned);
    return owned;
  }

  get #callReserve(): number {
    return this.#options.bounds.callReserve ?? 0;
  }

  /** Tokens per millisecond of this daemon's part of the fixed number. */
  #fixedPerMs(): number {
    const {slack, windowS} = this.#options.bounds;
    const {daemons} = this.#fleetSize;
    if (daemons === 0) return 0;
    return (slack * this.#issuedShare('fixed')) / (windowS * 1000 * daemons);
  }
}
