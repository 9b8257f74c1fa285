/**
 * Determines how many tokens of the customers' rates this daemon may grant.
 * Each daemon has an equal part of every rate. It periodically pays the part
 * for the time since its last payment to the daemon that it considers the
 * owner of the rate. Each period is paid only once, so if daemons disagree
 * about the owner, each owner just receives less.
 *
 * Limits are hashed into a few groups with one owner each, so that one small
 * message pays the parts of many limits.
 */
import {createHash} from 'node:crypto';
import {FleetCount} from './fleet_count.js';
import {OwnerSelector, type OwnerCandidates} from './owner_selector.js';
import {PAYMENT_INTERVAL_MS, PaymentTimer} from './payment_timer.js';

/** A payment of one daemon's part to an owner. */
export interface PartPayment {
  /** Groups of limits that the receiver owns according to the payer. */
  readonly groups: readonly number[];
  /** Time since the last payment, divided by the number of daemons. */
  readonly partMs: number;
}

/** The daemons that share the rates, from this daemon's point of view. */
export interface PartPeers extends OwnerCandidates {
  /** Number of daemons, also unreachable ones; 0 while it is unknown. */
  count(): number;
  payPart(vm: string, payment: PartPayment): void;
}

/** Options of {@link RateParts}. */
export interface RatePartsOptions {
  readonly peers: PartPeers;
  /** Whether the fleet starts for the first time: no tokens are used yet. */
  readonly isFirstStart: boolean;
  readonly now: () => number;
}

/**
 * Several groups spread the work over several owners; each owner receives a
 * payment from every daemon.
 */
const GROUP_COUNT = 4;
/**
 * An owner's bucket capacity depends on the payments that it received within
 * this time: three from each daemon.
 */
const PAYMENT_WINDOW_MS = 3 * PAYMENT_INTERVAL_MS;
/** After the fleet's first start, this period is granted without payments. */
const FREE_START_MS = 3000;

interface ReceivedPayment {
  readonly atMs: number;
  readonly partMs: number;
}

/** Sends this daemon's parts of the rates and receives those of others. */
export class RateParts {
  readonly #options: RatePartsOptions;
  readonly #ownerSelector: OwnerSelector;
  readonly #fleetSize: FleetCount;
  readonly #startedAtMs: number;
  /** Period after the start that owners may grant without payments. */
  readonly #freeMs: number;
  readonly #groupByLimit = new Map<string, number>();
  readonly #recentPayments = new Map<number, readonly ReceivedPayment[]>();
  readonly #receivedMs = new Map<number, number>();
  #lastPaidAtMs: number;
  readonly #timer = new PaymentTimer(() => this.sendPayments());

  constructor(options: RatePartsOptions) {
    this.#options = options;
    this.#ownerSelector = new OwnerSelector(options.peers);
    this.#fleetSize = new FleetCount(() => options.peers.count(), options.now);
    this.#startedAtMs = options.now();
    this.#freeMs = options.isFirstStart ? FREE_START_MS : 0;
    this.#lastPaidAtMs = this.#startedAtMs + this.#freeMs;
  }

  start(): void {
    this.#timer.start();
  }

  stop(): void {
    this.#timer.stop();
  }

  /** This daemon's part of every rate, from 0 to 1. */
  get ownPart(): number {
    const {daemons} = this.#fleetSize;
    return daemons === 0 ? 0 : 1 / daemons;
  }

  /** The daemon that grants the tokens of a limit. */
  ownerOf(limit: string): string {
    return this.#ownerOf(this.#groupOf(limit));
  }

  /** A clock that advances only by the time that was paid for. */
  clockMs(limit: string): number {
    const freeMs = Math.min(this.#freeMs, this.#uptimeMs);
    return freeMs + (this.#receivedMs.get(this.#groupOf(limit)) ?? 0);
  }

  /** The share of all parts that was paid recently, from 0 to 1. */
  recentShareOf(limit: string): number {
    const payingMs = this.#uptimeMs - this.#freeMs;
    // The first payments may still be in transit.
    if (this.#freeMs > 0 && payingMs < PAYMENT_INTERVAL_MS) return 1;
    const fromMs = this.#options.now() - PAYMENT_WINDOW_MS;
    const received = this.#recentPayments.get(this.#groupOf(limit)) ?? [];
    const sumMs = received
      .filter(({atMs}) => atMs > fromMs)
      .reduce((sum, {partMs}) => sum + partMs, 0);
    const windowMs = Math.min(PAYMENT_WINDOW_MS, Math.max(1, payingMs));
    return Math.min(1, sumMs / windowMs);
  }

  /** Pays this daemon's parts for the time since its last payment. */
  sendPayments(): void {
    const {peers, now} = this.#options;
    const nowMs = now();
    const elapsedMs = Math.min(PAYMENT_WINDOW_MS, nowMs - this.#lastPaidAtMs);
    if (elapsedMs <= 0) return;
    this.#lastPaidAtMs = nowMs;
    const partMs = elapsedMs * this.ownPart;
    const owners = Array.from({length: GROUP_COUNT}, (_, group) =>
      this.#ownerOf(group),
    );
    new Set(owners).forEach(owner => {
      const groups = [...owners.keys()].filter(i => owners[i] === owner);
      if (owner === peers.selfId) this.receivePayment({groups, partMs});
      else peers.payPart(owner, {groups, partMs});
    });
  }

  /** Records a payment of another daemon. */
  receivePayment({groups, partMs}: PartPayment): void {
    const atMs = this.#options.now();
    groups.forEach(group => {
      const recent = (this.#recentPayments.get(group) ?? []).filter(
        received => atMs - received.atMs < PAYMENT_WINDOW_MS,
      );
      this.#recentPayments.set(group, [...recent, {atMs, partMs}]);
      this.#receivedMs.set(group, (this.#receivedMs.get(group) ?? 0) + partMs);
    });
  }

  get #uptimeMs(): number {
    return this.#options.now() - this.#startedAtMs;
  }

  #ownerOf(group: number): string {
    return this.#ownerSelector.ownerOf(`rates:${group}`);
  }

  #groupOf(limit: string): number {
    const known = this.#groupByLimit.get(limit);
    if (known !== undefined) return known;
    const digest = createHash('md5').update(limit).digest();
    const group = digest.readUInt8(0) % GROUP_COUNT;
    this.#groupByLimit.set(limit, group);
    return group;
  }
}
