/**
 * Reads the configuration from the store. The head is the value that names the
 * newest revision and the stamp of each shard. Every version of a shard is
 * stored as a value of its own that is never overwritten.
 */
import {Failure} from '../errors/failure.js';
import type {Store} from '../platform/store.js';
import {
  applyChanges,
  EMPTY_HEAD,
  parseChanges,
  parseHead,
  type Change,
  type Head,
} from './changes.js';
import {PackedRecords} from './packed_records.js';
import {parseShard, type ConfigurationState, type Shard} from './state.js';

/** The head and the store's version of it. */
export interface StoredHead {
  readonly head: Head;
  /** 0 if the store has no head yet. */
  readonly version: number;
}

/** Store key of the head, the only key that daemons watch. */
export const HEAD_KEY = 'configuration/head';

const MAX_PARALLEL_READS = 8;

/** Store key of a shard's value. */
export function shardKey(index: number, stamp: string): string {
  return `configuration/shard/${index}/${stamp}`;
}

/** Reads the head; returns the empty head if the store has none. */
export async function readHead(store: Store): Promise<StoredHead> {
  const stored = await store.get(HEAD_KEY);
  if (!stored) return {head: EMPTY_HEAD, version: 0};
  return {head: parseHead(stored.value), version: stored.version};
}

/** Reads the JSON text of a shard; undefined if it no longer exists. */
export type ReadShard = (
  index: number,
  stamp: string,
) => Promise<string | undefined>;

/**
 * Brings a state to the revision of a head: by applying the changes that the
 * head lists or, if they leave a gap, by reading the shards whose stamps
 * differ, {@link MAX_PARALLEL_READS} at a time.
 */
export async function loadState(
  last: ConfigurationState,
  head: Pick<Head, 'revision' | 'stamps' | 'changes'>,
  readShard: ReadShard,
): Promise<ConfigurationState> {
  if (head.revision === last.revision) return last;
  const byChanges = applyChanges(last, head.changes);
  if (byChanges?.revision === head.revision) return byChanges;
  const shards = [...last.shards];
  const differing = head.stamps
    .map((stamp, index) => ({stamp, index}))
    .filter(({stamp, index}) => stamp !== shards[index]?.stamp);
  const next = differing.values();
  const readAll = async () => {
    for (const {stamp, index} of next) {
      shards[index] = await readOne(index, stamp, readShard);
    }
  };
  await Promise.all(Array.from({length: MAX_PARALLEL_READS}, readAll));
  return {revision: head.revision, shards, changes: head.changes};
}

/** Returns a function that reads shards from the store. */
export function readShardFrom(store: Store): ReadShard {
  return async (index, stamp) => {
    return (await store.get(shardKey(index, stamp)))?.value;
  };
}

/** Reads changes that were moved from the head to the archive, newest first. */
export async function readArchive(
  store: Store,
  key: string,
): Promise<readonly Change[]> {
  const stored = await store.get(key);
  return stored ? parseChanges(stored.value).toReversed() : [];
}

async function readOne(
  index: number,
  stamp: string,
  readShard: ReadShard,
): Promise<Shard> {
  if (stamp === '') return {stamp, records: PackedRecords.empty};
  const text = await readShard(index, stamp);
  if (text === undefined) throw new Failure('shardMissing', {index, stamp});
  return parseShard(stamp, text);
}
