/**
 * Gossip membership after SWIM; the work per daemon is bounded whatever the
 * size of the fleet. Updates are sent with pings and, in between, to a few
 * fixed neighbours. From time to time a daemon also compares digests of its
 * full view with another daemon (anti-entropy), so that the views converge
 * after lost updates and healed partitions.
 */
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import {FailureDetector} from './failure_detector.js';
import type {Links} from './links.js';
import type {MemberChange, MemberRecord} from './messages.js';
import {UpdateQueue} from './update_queue.js';
import {rankMembers} from './rendezvous.js';
import {View} from './view.js';

/** The members of the fleet, as this daemon sees them. */
export interface Membership {
  /** This daemon's own record. */
  self(): MemberRecord;
  /** All members that are alive or only suspect, including this daemon. */
  members(): readonly MemberRecord[];
  member(id: string): MemberRecord | undefined;
  /** Changes this daemon's own record and gossips the change. */
  update(change: MemberChange): void;
}

/** Options of {@link SwimMembership}. */
export interface MembershipOptions {
  readonly self: MemberRecord;
  /** Addresses of daemons through which to join the fleet. */
  readonly seeds: readonly string[];
  readonly links: Links;
  readonly log: Logger;
  /** Returns a number in [0, 1), to choose peers by. */
  readonly random?: () => number;
}

const GOSSIP_INTERVAL_MS = 200;
const NEIGHBOUR_COUNT = 8;
const NEIGHBOUR_INTERVAL_MS = 5000;
/** Neighbours that receive updates in one round. */
const GOSSIP_FANOUT = 2;
const COMPARE_INTERVAL_MS = 5000;
const JOIN_INTERVAL_MS = 500;
const CALL_TIMEOUT_MS = 1000;
const PING_FOR_TIMEOUT_MS = 400;

/** Gossip membership of one daemon. */
export class SwimMembership implements Membership {
  readonly #options: MembershipOptions;
  readonly #view: View;
  readonly #queue: UpdateQueue;
  readonly #detector: FailureDetector;
  readonly #random: () => number;
  #timers: readonly NodeJS.Timeout[] = [];
  #neighbours: readonly MemberRecord[] = [];
  #nextNeighbour = 0;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#random = options.random ?? Math.random;
    this.#view = new View(options.self);
    this.#queue = new UpdateQueue(() => this.#view.size);
    this.#detector = new FailureDetector({
      view: this.#view,
      queue: this.#queue,
      links: options.links,
      log: options.log,
      random: this.#random,
    });
    this.#handleCalls();
  }

  start(): void {
    this.#timers = [
      setInterval(() => this.#gossip(), GOSSIP_INTERVAL_MS),
      setInterval(
        () => void this.#compareWithRandomPeers(),
        COMPARE_INTERVAL_MS,
      ),
      setInterval(() => void this.#join(), JOIN_INTERVAL_MS),
      setInterval(() => this.#chooseNeighbours(), NEIGHBOUR_INTERVAL_MS),
    ];
    this.#queue.add([{status: 'alive', record: this.#view.self}]);
    this.#detector.start();
    void this.#join();
  }

  stop(): void {
    this.#timers.forEach(timer => clearInterval(timer));
    this.#detector.stop();
  }

  self(): MemberRecord {
    return this.#view.self;
  }

  members(): readonly MemberRecord[] {
    return [this.#view.self, ...this.#view.others()];
  }

  member(id: string): MemberRecord | undefined {
    if (id === this.#view.self.id) return this.#view.self;
    const known = this.#view.get(id);
    return known?.status === 'dead' ? undefined : known?.record;
  }

  update(change: MemberChange): void {
    this.#queue.add([this.#view.updateSelf(change)]);
    this.#gossip();
  }

  #handleCalls(): void {
    const {links} = this.#options;
    links.handle('member.ping', body => {
      const from = {status: 'alive' as const, record: body.from};
      this.#queue.add(this.#view.merge([from, ...body.updates]));
      const claims = this.#view.claimsAbout(body.from.id);
      return {updates: [...claims, ...this.#queue.take()]};
    });
    links.handle('member.pingFor', async ({address}) => {
      const reached = await this.#canReach(address);
      return {reached};
    });
    links.handle('member.news', ({updates}) => {
      this.#queue.add(this.#view.merge(updates));
      return null;
    });
    links.handle('member.compare', () => ({digests: this.#view.digests()}));
    links.handle('member.exchange', ({buckets, updates}) => {
      this.#queue.add(this.#view.merge(updates));
      return {updates: this.#view.updatesIn(buckets)};
    });
  }

  async #canReach(address: string): Promise<boolean> {
    const body = {from: this.#view.self, updates: []};
    return this.#options.links
      .call(address, 'member.ping', body, PING_FOR_TIMEOUT_MS)
      .then(
        () => true,
        () => false,
      );
  }

  /** Sends queued updates to the next few neighbours. */
  #gossip(): void {
    if (this.#queue.isEmpty) return;
    if (this.#neighbours.length === 0) this.#chooseNeighbours();
    const neighbours = this.#neighbours;
    const count = Math.min(GOSSIP_FANOUT, neighbours.length);
    Array.from({length: count}, (_, index) => {
      const turn = (this.#nextNeighbour + index) % neighbours.length;
      const updates = this.#queue.take();
      const address = neighbours[turn]?.peersAddress;
      if (address === undefined || updates.length === 0) return;
      this.#options.links
        .call(address, 'member.news', {updates}, CALL_TIMEOUT_MS)
        .catch((err: unknown) => this.#logFailedCall(address, err));
    });
    this.#nextNeighbour += count;
  }

  /** Picks mostly the same few members each time, so that links stay open. */
  #chooseNeighbours(): void {
    const ranked = rankMembers(this.#view.self.id, this.#view.others());
    this.#neighbours = ranked.slice(0, NEIGHBOUR_COUNT);
  }

  /** Contacts the seeds while this daemon knows no other live member. */
  async #join(): Promise<void> {
    if (this.#view.others().length > 0) return;
    await Promise.all(this.#options.seeds.map(seed => this.#compare(seed)));
  }

  /** Compares with a live member and with a dead one or an unknown seed. */
  async #compareWithRandomPeers(): Promise<void> {
    this.#view.evictExpired();
    const alive = this.#view.others().map(member => member.peersAddress);
    const unreachable = [
      ...this.#view.withStatus('dead').map(known => known.record.peersAddress),
      ...this.#options.seeds.filter(seed => !alive.includes(seed)),
    ].filter(address => address !== this.#view.self.peersAddress);
    await Promise.all(
      [this.#pickRandom(alive), this.#pickRandom(unreachable)]
        .filter(address => address !== undefined)
        .map(address => this.#compare(address)),
    );
  }

  /** Exchanges the buckets in which the two views differ. */
  async #compare(address: string): Promise<void> {
    const {links} = this.#options;
    const digests = this.#view.digests();
    try {
      const theirs = await links.call(
        address,
        'member.compare',
        null,
        CALL_TIMEOUT_MS,
      );
      const buckets = [...digests.keys()].filter(
        bucket => digests[bucket] !== theirs.digests[bucket],
      );
      if (buckets.length === 0) return;
      const reply = await links.call(
        address,
        'member.exchange',
        {buckets, updates: this.#view.updatesIn(buckets)},
        CALL_TIMEOUT_MS,
      );
      this.#queue.add(this.#view.merge(reply.updates));
    } catch (err) {
      this.#logFailedCall(address, err);
    }
  }

  #pickRandom(addresses: readonly string[]): string | undefined {
    return addresses[Math.floor(this.#random() * addresses.length)];
  }

  #logFailedCall(address: string, err: unknown): void {
    this.#options.log.debug(`Call to ${address} failed: ${reasonOf(err)}.`);
  }
}
