/**
 * One revision of the whole configuration in memory. Records are distributed
 * over a fixed number of shards by the hash of their key. A shard has a stamp
 * that identifies its content: equal stamps mean equal records.
 */
import {createHash} from 'node:crypto';
import type {Change} from './changes.js';
import {PackedRecords, recordKey} from './packed_records.js';
import type {ConfigurationRecord, RecordKind} from './records.js';

export {recordKey};

/** The records of one shard. */
export interface Shard {
  /** Empty string for a shard that never had a record. */
  readonly stamp: string;
  readonly records: PackedRecords;
}

/** All records of one revision; immutable. */
export interface ConfigurationState {
  readonly revision: number;
  readonly shards: readonly Shard[];
  /** The newest changes, in ascending order of revision. */
  readonly changes: readonly Change[];
}

/** Records to write and to remove. */
export interface Edit {
  readonly put: readonly ConfigurationRecord[];
  /** Record keys. */
  readonly removed: readonly string[];
}

/** Must never change: the first byte of a key's hash selects the shard. */
export const SHARD_COUNT = 256;

const EMPTY_SHARD: Shard = {stamp: '', records: PackedRecords.empty};

/** The state before the first change. */
export const EMPTY_STATE: ConfigurationState = {
  revision: 0,
  shards: Array.from({length: SHARD_COUNT}, () => EMPTY_SHARD),
  changes: [],
};

/** Index of the shard that a record key belongs to. */
export function shardOf(key: string): number {
  return createHash('md5').update(key).digest()[0] ?? 0;
}

/** Finds a record by its kind and id. */
export function findRecord<Kind extends RecordKind>(
  state: ConfigurationState,
  kind: Kind,
  id: string,
): Extract<ConfigurationRecord, {kind: Kind}> | undefined {
  const key = recordKey(kind, id);
  return state.shards[shardOf(key)]?.records.get(key) as
    Extract<ConfigurationRecord, {kind: Kind}> | undefined;
}

/** All records of a state. */
export function allRecords(
  state: ConfigurationState,
): readonly ConfigurationRecord[] {
  return state.shards.flatMap(shard => shard.records.values());
}

/** All records of one kind. */
export function recordsOf<Kind extends RecordKind>(
  state: ConfigurationState,
  kind: Kind,
): readonly Extract<ConfigurationRecord, {kind: Kind}>[] {
  return allRecords(state).filter(
    (record): record is Extract<ConfigurationRecord, {kind: Kind}> =>
      record.kind === kind,
  );
}

/** Parses the JSON text of a shard from the store or a peer. */
export function parseShard(stamp: string, text: string): Shard {
  const records = JSON.parse(text) as readonly ConfigurationRecord[];
  return {stamp, records: PackedRecords.from(records)};
}

/** Serializes the records of a shard as JSON text. */
export function shardText(shard: Shard): string {
  return JSON.stringify(shard.records.values());
}

/**
 * Applies an edit to shards. A shard that the edit touches gets the stamp that
 * `stampOf` returns for its index; all others remain the same objects.
 */
export function editShards(
  shards: readonly Shard[],
  edit: Edit,
  stampOf: (index: number) => string,
): readonly Shard[] {
  const edited = new Map<number, Map<string, ConfigurationRecord>>();
  const recordsAt = (key: string) => {
    const index = shardOf(key);
    const records = edited.get(index) ?? toRecordMap(shards[index]);
    edited.set(index, records);
    return records;
  };
  edit.removed.forEach(key => recordsAt(key).delete(key));
  edit.put.forEach(record => {
    const key = recordKey(record.kind, record.id);
    recordsAt(key).set(key, record);
  });
  return shards.map((shard, index) => {
    const records = edited.get(index);
    if (!records) return shard;
    const packed = PackedRecords.from([...records.values()]);
    return {stamp: stampOf(index), records: packed};
  });
}

function toRecordMap(
  shard: Shard | undefined,
): Map<string, ConfigurationRecord> {
  const records = shard?.records.values() ?? [];
  return new Map(records.map(r => [recordKey(r.kind, r.id), r]));
}

/** Drops the parts of an edit that would change nothing. */
export function pruneEdit(state: ConfigurationState, edit: Edit): Edit {
  const has = (key: string) => state.shards[shardOf(key)]?.records.get(key);
  return {
    put: edit.put.filter(record => {
      const last = has(recordKey(record.kind, record.id));
      return !last || canonicalText(last) !== canonicalText(record);
    }),
    removed: edit.removed.filter(key => has(key) !== undefined),
  };
}

/** JSON with sorted fields, so that equal records give equal text. */
export function canonicalText(record: ConfigurationRecord): string {
  const fields = Object.entries(record).filter(([, v]) => v !== undefined);
  return JSON.stringify(fields.toSorted(([a], [b]) => (a < b ? -1 : 1)));
}

/** Short digest of a record's content, for ETag and If-Match. */
export function etagOf(record: ConfigurationRecord): string {
  const text = canonicalText(record);
  const digest = createHash('sha256').update(text).digest('base64url');
  return `"${digest.slice(0, 16)}"`;
}
