/**
 * Who is in the fleet. Each daemon exchanges what it knows with the others on
 * a fixed interval; a daemon that has not been heard of for a while is left
 * out. The record with the higher incarnation, then version, wins.
 */
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Links} from './links.js';
import type {MemberRecord} from './messages.js';

/** What the parts of a daemon need to know about the fleet. */
export interface Membership {
  /** This daemon's own record. */
  self(): MemberRecord;
  /** Every member believed alive, this daemon among them. */
  members(): readonly MemberRecord[];
  member(id: string): MemberRecord | undefined;
  /** Changes this daemon's own record; all others learn of it. */
  update(change: Partial<Pick<MemberRecord, 'state' | 'slots'>>): void;
}

/** Options of {@link Gossip}. */
export interface GossipOptions {
  readonly self: MemberRecord;
  readonly seeds: readonly string[];
  readonly links: Links;
  readonly log: Logger;
}

interface Heard {
  readonly record: MemberRecord;
  readonly atMs: number;
}

const SYNC_INTERVAL_MS = 500;
const SYNC_TIMEOUT_MS = 400;
const SILENCE_MS = 3000;

/** Membership by full exchange with every known daemon. */
export class Gossip implements Membership {
  readonly #options: GossipOptions;
  readonly #heard = new Map<string, Heard>();
  #self: MemberRecord;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: GossipOptions) {
    this.#options = options;
    this.#self = options.self;
    options.links.handle('member.sync', body => {
      this.#merge(body.members);
      return {members: this.members()};
    });
  }

  start(): void {
    const round = () => void this.#syncAll();
    this.#timer = setInterval(round, SYNC_INTERVAL_MS);
    round();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  self(): MemberRecord {
    return this.#self;
  }

  members(): readonly MemberRecord[] {
    const now = performance.now();
    const others = [...this.#heard.values()]
      .filter(heard => now - heard.atMs < SILENCE_MS)
      .map(heard => heard.record);
    return [this.#self, ...others];
  }

  member(id: string): MemberRecord | undefined {
    return this.members().find(member => member.id === id);
  }

  update(change: Partial<Pick<MemberRecord, 'state' | 'slots'>>): void {
    const version = this.#self.version + 1;
    this.#self = {...this.#self, ...change, version};
    // Others must not send new work for a whole interval more.
    if (change.state !== undefined) void this.#syncAll();
  }

  /** Exchanges once with every known daemon. */
  async #syncAll(): Promise<void> {
    const known = this.members().map(member => member.peersAddress);
    const targets = new Set([...this.#options.seeds, ...known]);
    targets.delete(this.#self.peersAddress);
    await Promise.all([...targets].map(address => this.#sync(address)));
  }

  async #sync(address: string): Promise<void> {
    try {
      const reply = await this.#options.links.call(
        address,
        'member.sync',
        {members: [this.#self]},
        SYNC_TIMEOUT_MS,
      );
      this.#merge(reply.members);
    } catch (err) {
      this.#options.log.debug(`No sync with ${address}: ${reasonOf(err)}.`);
    }
  }

  #merge(records: readonly MemberRecord[]): void {
    records
      .filter(record => record.id !== this.#self.id)
      .filter(record => isNewer(record, this.#heard.get(record.id)?.record))
      .forEach(record => {
        this.#heard.set(record.id, {record, atMs: performance.now()});
      });
  }
}

function isNewer(next: MemberRecord, last: MemberRecord | undefined): boolean {
  if (!last) return true;
  if (next.incarnation !== last.incarnation) {
    return next.incarnation > last.incarnation;
  }
  return next.version >= last.version;
}
