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
import {Owners, type OwnerCandidates} from './owners.js';
import {PAY_MS, PaymentTimer} from './payment_timer.js';

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
const GROUPS = 4;
/**
 * An owner's bucket capacity depends on the payments that it received within
 * this time: three from each daemon.
 */
const SHARE_WINDOW_MS = 3 * PAY_MS;
/** After the fleet's first start, this period is granted without payments. */
const FREE_MS = 3000;

interface Received {
  readonly atMs: number;
  readonly partMs: number;
}

/** Sends this daemon's parts of the rates and receives those of others. */
export class RateParts {
  readonly #options: RatePartsOptions;
  readonly #owners: Owners;
  readonly #count: FleetCount;
  readonly #startedAtMs: number;
  /** Period after the start that owners may grant without payments. */
  readonly #freeMs: number;
  readonly #groups = new Map<string, number>();
  readonly #received = new Map<number, readonly Received[]>();
  readonly #paidMs = new Map<number, number>();
  #paidAtMs: number;
  readonly #timer = new PaymentTimer(() => this.payAll());

  constructor(options: RatePartsOptions) {
    this.#options = options;
    this.#owners = new Owners(options.peers);
    this.#count = new FleetCount(() => options.peers.count(), options.now);
    this.#startedAtMs = options.now();
    this.#freeMs = options.isFirstStart ? FREE_MS : 0;
    this.#paidAtMs = this.#startedAtMs + this.#freeMs;
  }

  start(): void {
    this.#timer.start();
  }

  stop(): void {
    this.#timer.stop();
  }

  /** This daemon's part of every rate, from 0 to 1. */
  get ownPart(): number {
    const {daemons} = this.#count;
    return daemons === 0 ? 0 : 1 / daemons;
  }

  /** The daemon that grants the tokens of a limit. */
  ownerOf(limit: string): string {
    return this.#ownerOf(this.#groupOf(limit));
  }

  /** A clock that advances only by the time that was paid for. */
  clockMs(limit: string): number {
    const freeMs = Math.min(this.#freeMs, this.#ageMs);
    return freeMs + (this.#paidMs.get(this.#groupOf(limit)) ?? 0);
  }

  /** The share of all parts that was paid recently, from 0 to 1. */
  shareOf(limit: string): number {
    const payingMs = this.#ageMs - this.#freeMs;
    // The first payments may still be in transit.
    if (this.#freeMs > 0 && payingMs < PAY_MS) return 1;
    const fromMs = this.#options.now() - SHARE_WINDOW_MS;
    const received = this.#received.get(this.#groupOf(limit)) ?? [];
    const sumMs = received
      .filter(({atMs}) => atMs > fromMs)
      .reduce((sum, {partMs}) => sum + partMs, 0);
    const windowMs = Math.min(SHARE_WINDOW_MS, Math.max(1, payingMs));
    return Math.min(1, sumMs / windowMs);
  }

  /** Pays this daemon's parts for the time since its last payment. */
  payAll(): void {
    const {peers, now} = this.#options;
    const nowMs = now();
    const forMs = Math.min(SHARE_WINDOW_MS, nowMs - this.#paidAtMs);
    if (forMs <= 0) return;
    this.#paidAtMs = nowMs;
    const partMs = forMs * this.ownPart;
    const owners = Array.from({length: GROUPS}, (_, group) =>
      this.#ownerOf(group),
    );
    new Set(owners).forEach(owner => {
      const groups = [...owners.keys()].filter(i => owners[i] === owner);
      if (owner === peers.selfId) this.receive({groups, partMs});
      else peers.payPart(owner, {groups, partMs});
    });
  }

  /** Records a payment of another daemon. */
  receive({groups, partMs}: PartPayment): void {
    const atMs = this.#options.now();
    groups.forEach(group => {
      const recent = (this.#received.get(group) ?? []).filter(
        received => atMs - received.atMs < SHARE_WINDOW_MS,
      );
      this.#received.set(group, [...recent, {atMs, partMs}]);
      this.#paidMs.set(group, (this.#paidMs.get(group) ?? 0) + partMs);
    });
  }

  get #ageMs(): number {
    return this.#options.now() - this.#startedAtMs;
  }

  #ownerOf(group: number): string {
    return this.#owners.ownerOf(`rates:${group}`);
  }

  #groupOf(limit: string): number {
    const known = this.#groups.get(limit);
    if (known !== undefined) return known;
    const digest = createHash('md5').update(limit).digest();
    const group = digest.readUInt8(0) % GROUPS;
    this.#groups.set(limit, group);
    return group;
  }
}
