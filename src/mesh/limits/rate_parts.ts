/**
 * How much of the customers' rates this daemon may give out. Each daemon makes
 * its own part of all rates over to whom it takes as their owner, for the time
 * since it last did so. A part of a time is made over once, so that owners on
 * which daemons disagree only have less each.
 *
 * Limits lie in a few groups, each with one owner, so that one small message
 * makes over the parts of many.
 */
import {createHash} from 'node:crypto';
import {FleetCount} from './fleet_count.js';
import {Owners, type OwnerCandidates} from './owners.js';
import {PAY_MS, PaymentTimer} from './payment_timer.js';

/** Makes parts over to an owner. */
export interface PartPayment {
  /** Groups of limits that the receiver owns, as the payer sees it. */
  readonly groups: readonly number[];
  /** Time since the last payment, by the payer's part of the fleet. */
  readonly partMs: number;
}

/** The daemons that share the rates, as this one sees them. */
export interface PartPeers extends OwnerCandidates {
  /** How many daemons there are, with those out of reach; 0: not known yet. */
  count(): number;
  payPart(vm: string, payment: PartPayment): void;
}

/** What the parts are made from. */
export interface RatePartsOptions {
  readonly peers: PartPeers;
  /** Whether the fleet starts for the first time, with nothing spent. */
  readonly isFirstStart: boolean;
  readonly now: () => number;
}

/** Owners share the work; each takes a payment of every daemon. */
const GROUPS = 4;
/** What an owner holds goes by the payments of this time: three of each. */
const SHARE_WINDOW_MS = 3 * PAY_MS;
/** Time after the first start of the fleet that is not paid for. */
const FREE_MS = 3000;

interface Received {
  readonly atMs: number;
  readonly partMs: number;
}

/** The parts as one daemon makes them over and receives them. */
export class RateParts {
  readonly #options: RatePartsOptions;
  readonly #owners: Owners;
  readonly #count: FleetCount;
  readonly #startedAtMs: number;
  /** Time after the start that owners have without payments. */
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

  /** This daemon's part of every rate. */
  get ownPart(): number {
    const {daemons} = this.#count;
    return daemons === 0 ? 0 : 1 / daemons;
  }

  /** The daemon that gives out the tokens of a limit. */
  ownerOf(limit: string): string {
    return this.#ownerOf(this.#groupOf(limit));
  }

  /** A clock that goes as fast as the parts that were made over allow. */
  clockMs(limit: string): number {
    const freeMs = Math.min(this.#freeMs, this.#ageMs);
    return freeMs + (this.#paidMs.get(this.#groupOf(limit)) ?? 0);
  }

  /** The share of all parts that was made over of late, from 0 to 1. */
  shareOf(limit: string): number {
    const payingMs = this.#ageMs - this.#freeMs;
    // The first payments are on their way.
    if (this.#freeMs > 0 && payingMs < PAY_MS) return 1;
    const fromMs = this.#options.now() - SHARE_WINDOW_MS;
    const received = this.#received.get(this.#groupOf(limit)) ?? [];
    const sumMs = received
      .filter(({atMs}) => atMs > fromMs)
      .reduce((sum, {partMs}) => sum + partMs, 0);
    const windowMs = Math.min(SHARE_WINDOW_MS, Math.max(1, payingMs));
    return Math.min(1, sumMs / windowMs);
  }

  /** Makes this daemon's parts over, for the time since the last time. */
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

  /** Takes parts in that another daemon makes over. */
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
