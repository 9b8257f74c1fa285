/**
 * Reads the configuration from the store: the head names the revision and
 * the stamp of each shard; a shard is a value of its own that never changes.
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
  /** 0 if there is none yet. */
  readonly version: number;
}

/** Store key of the head; watch this and nothing else. */
export const HEAD_KEY = 'configuration/head';

const MAX_PARALLEL_READS = 8;

/** Store key of a shard's value. */
export function shardKey(index: number, stamp: string): string {
  return `configuration/shard/${index}/${stamp}`;
}

/** The stored head; the empty one if there is none. */
export async function readHead(store: Store): Promise<StoredHead> {
  const stored = await store.get(HEAD_KEY);
  if (!stored) return {head: EMPTY_HEAD, version: 0};
  return {head: parseHead(stored.value), version: stored.version};
}

/** Reads one value of text by its key; undefined if it is gone. */
export type ReadShard = (
  index: number,
  stamp: string,
) => Promise<string | undefined>;

/**
 * Brings a state to what a head names: by the changes that it lists, or else
 * by the shards whose stamps differ, read a few at a time.
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

/** Reads shards from the store. */
export function readShardFrom(store: Store): ReadShard {
  return async (index, stamp) => {
    return (await store.get(shardKey(index, stamp)))?.value;
  };
}

/** Accepted changes that were moved out of the head, the newest first. */
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
