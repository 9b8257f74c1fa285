/**
 * One daemon's view of the fleet: the newest record and the status of each
 * member. Updates are merged so that any order of arrival gives the same view:
 * the higher incarnation wins, then the higher version, then the worse status.
 * A member refutes a false claim that it failed by a higher version of its
 * record.
 */
import {createHash} from 'node:crypto';
import type {MemberRecord, MemberStatus, MemberUpdate} from './messages.js';

/** The record and status of one member. */
export interface KnownMember {
  readonly record: MemberRecord;
  readonly status: MemberStatus;
  /** When the status was merged; monotonic clock, milliseconds. */
  readonly sinceMs: number;
}

/** Number of buckets by which views are compared. */
export const BUCKET_COUNT = 64;

/** How long a dead member is kept, so that it can be contacted again. */
const DEAD_RETENTION_MS = 2 * 60 * 60 * 1000;

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  dead: 2,
};

/** One daemon's view of the fleet. */
export class View {
  readonly #known = new Map<string, KnownMember>();
  #self: MemberRecord;

  constructor(self: MemberRecord) {
    this.#self = self;
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** Number of known members, including dead ones and this daemon. */
  get size(): number {
    return this.#known.size + 1;
  }

  /** Replaces parts of this daemon's own record. */
  updateSelf(change: Partial<MemberRecord>): MemberUpdate {
    const version = this.#self.version + 1;
    this.#self = {...this.#self, ...change, version};
    return {status: 'alive', record: this.#self};
  }

  /** Members that are alive or only suspect, without this daemon. */
  others(): readonly MemberRecord[] {
    return [...this.#known.values()]
      .filter(known => known.status !== 'dead')
      .map(known => known.record);
  }

  withStatus(status: MemberStatus): readonly KnownMember[] {
    return [...this.#known.values()].filter(known => known.status === status);
  }

  /** The claim that a member failed, which the member itself may refute. */
  claimsAbout(id: string): readonly MemberUpdate[] {
    const known = this.#known.get(id);
    return known ? updatesOf(known).filter(isFailureClaim) : [];
  }

  get(id: string): KnownMember | undefined {
    return this.#known.get(id);
  }

  /** Merges updates; returns those that were new and should be gossiped. */
  merge(updates: readonly MemberUpdate[]): readonly MemberUpdate[] {
    return updates.flatMap(update => this.#mergeOne(update));
  }

  /** All records in the given buckets, including this daemon's own. */
  updatesIn(buckets: readonly number[]): readonly MemberUpdate[] {
    const wanted = new Set(buckets);
    return this.#all()
      .filter(known => wanted.has(bucketOf(known.record.id)))
      .flatMap(known => updatesOf(known));
  }

  /** One digest per bucket; equal digests mean equal contents. */
  digests(): readonly number[] {
    return this.#all().reduce((digests, known) => {
      const bucket = bucketOf(known.record.id);
      const digest = (digests[bucket] ?? 0) ^ digestOf(known);
      return digests.with(bucket, digest);
    }, new Array<number>(BUCKET_COUNT).fill(0));
  }

  /** Removes members that have been dead for the retention period. */
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

  /** Refutes an update about this daemon that it didn't issue itself. */
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

function isFailureClaim({status}: MemberUpdate): boolean {
  return status !== 'alive';
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

/** The updates that give another view this record and status. */
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

/** Suspicion is short-lived, so only death counts as a difference. */
function digestOf({record, status}: KnownMember): number {
  const dead = status === 'dead' ? 'dead' : '';
  return hash(`${record.id} ${record.incarnation} ${record.version} ${dead}`);
}

function hash(text: string): number {
  return createHash('md5').update(text).digest().readUInt32BE(0);
}
