/**
 * One daemon's view of the fleet: the newest record of each member and what
 * is believed of it. News is merged so that every order of arrival ends in
 * the same view: the higher incarnation, then version, then the worse status
 * wins. A member that is falsely claimed to have failed answers with a higher
 * version of its record.
 */
import {createHash} from 'node:crypto';
import type {MemberRecord, MemberStatus, MemberUpdate} from './messages.js';

/** What is known of one member. */
export interface KnownMember {
  readonly record: MemberRecord;
  readonly status: MemberStatus;
  /** When the status was taken in; monotonic clock, milliseconds. */
  readonly sinceMs: number;
}

/** Number of buckets that views are compared by. */
export const BUCKET_COUNT = 64;

/** How long a failed member is remembered, so that it can be found again. */
const DEAD_RETENTION_MS = 2 * 60 * 60 * 1000;

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** The view itself. */
export class View {
  readonly #known = new Map<string, KnownMember>();
  #self: MemberRecord;

  constructor(self: MemberRecord) {
    this.#self = self;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Members that are known, failed ones and this daemon among them. */
  get size(): number {
    return this.#known.size + 1;
  }

  /** Replaces parts of this daemon's own record. */
  updateSelf(change: Partial<MemberRecord>): MemberUpdate {
    const version = this.#self.version + 1;
    this.#self = {...this.#self, ...change, version};
    return {status: 'alive', record: this.#self};
  }

  /** Members believed alive or only suspected, without this daemon. */
  others(): readonly MemberRecord[] {
    return [...this.#known.values()]
      .filter(known => known.status !== 'dead')
      .map(known => known.record);
  }

  withStatus(status: MemberStatus): readonly KnownMember[] {
    return [...this.#known.values()].filter(known => known.status === status);
  }

  get(id: string): KnownMember | undefined {
    return this.#known.get(id);
  }

  /** Takes in news; returns what was new and should be passed on. */
  merge(updates: readonly MemberUpdate[]): readonly MemberUpdate[] {
    return updates.flatMap(update => this.#mergeOne(update));
  }

  /** Everything known in some buckets, this daemon's own record among it. */
  updatesIn(buckets: readonly number[]): readonly MemberUpdate[] {
    const wanted = new Set(buckets);
    return this.#all()
      .filter(known => wanted.has(bucketOf(known.record.id)))
      .flatMap(known => updatesOf(known));
  }

  /** One number for each bucket; equal numbers mean equal contents. */
  digests(): readonly number[] {
    return this.#all().reduce((digests, known) => {
      const bucket = bucketOf(known.record.id);
      const digest = (digests[bucket] ?? 0) ^ digestOf(known);
      return digests.with(bucket, digest);
    }, new Array<number>(BUCKET_COUNT).fill(0));
  }

  /** Forgets members that failed long ago. */
  evictExpired(): void {
    const failedBeforeMs = performance.now() - DEAD_RETENTION_MS;
    this.withStatus('dead')
      .filter(known => known.sinceMs < failedBeforeMs)
      .forEach(known => this.#known.delete(known.record.id));
  }

  #all(): readonly KnownMember[] {
    const self: KnownMember = {record: this.#self, status: 'alive', sinceMs: 0};
    return [self, ...this.#known.values()];
  }

  #mergeOne(update: MemberUpdate): readonly MemberUpdate[] {
    const id = update.status === 'alive' ? update.record.id : update.id;
    if (id === this.#self.id) return this.#refute(update);
    const last = this.#known.get(id);
    const record = update.status === 'alive' ? update.record : last?.record;
    if (!record || !isNewer(update, last)) return [];
    const sinceMs = performance.now();
    this.#known.set(id, {record, status: update.status, sinceMs});
    return [update];
  }

  /** Outbids news about this daemon that isn't its own. */
  #refute(update: MemberUpdate): readonly MemberUpdate[] {
    const {incarnation, version} = versionOf(update);
    const own = this.#self;
    const isOlder =
      incarnation < own.incarnation ||
      (incarnation === own.incarnation && version < own.version);
    const isEcho =
      update.status === 'alive' && isSameRecord(update.record, own);
    if (isOlder || isEcho) return [];
    this.#self = {...own, incarnation: Math.max(incarnation, own.incarnation)};
    const highestVersion = Math.max(version, own.version);
    this.#self = {...this.#self, version: highestVersion + 1};
    return [{status: 'alive', record: this.#self}];
  }
}

interface RecordVersion {
  readonly incarnation: number;
  readonly version: number;
}

function versionOf(update: MemberUpdate): RecordVersion {
  return update.status === 'alive' ? update.record : update;
}

function isSameRecord(a: MemberRecord, b: MemberRecord): boolean {
  return a.incarnation === b.incarnation && a.version === b.version;
}

function isNewer(update: MemberUpdate, last: KnownMember | undefined): boolean {
  if (!last) return true;
  const next = versionOf(update);
  const {incarnation, version} = last.record;
  if (next.incarnation !== incarnation) return next.incarnation > incarnation;
  if (next.version !== version) return next.version > version;
  return STATUS_RANK[update.status] > STATUS_RANK[last.status];
}

/** The news that brings another view to what is known of a member. */
function updatesOf(known: KnownMember): readonly MemberUpdate[] {
  const {record, status} = known;
  const alive: MemberUpdate = {status: 'alive', record};
  if (status === 'alive') return [alive];
  const {id, incarnation, version} = record;
  return [alive, {status, id, incarnation, version}];
}

function bucketOf(id: string): number {
  return hash(id) % BUCKET_COUNT;
}

/** Suspicion passes quickly, so only death counts as a difference. */
function digestOf({record, status}: KnownMember): number {
  const dead = status === 'dead' ? 'dead' : '';
  return hash(`${record.id} ${record.incarnation} ${record.version} ${dead}`);
}

function hash(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
}
