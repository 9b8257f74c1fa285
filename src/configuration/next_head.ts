/**
 * Computes the head that results from a change: the new stamps, the change at
 * the end of the list, old changes moved to the archive, and replaced values
 * marked as garbage. Every part of the head is bounded, so that it stays small.
 */
import {createDelta, type Change, type Head} from './changes.js';
import type {Edit, Shard} from './state.js';
import {shardKey} from './store_reader.js';

/** A value that must be stored before the head is swapped. */
export interface NewValue {
  readonly key: string;
  readonly text: string;
}

/** A change that is ready to be written. */
export interface PlannedChange {
  readonly head: Head;
  readonly change: Change;
  readonly shards: readonly Shard[];
  readonly values: readonly NewValue[];
  /** Store keys that may be removed once the head is swapped. */
  readonly removableKeys: readonly string[];
}

/** Input of {@link planNextHead}. */
export interface NextHeadInput {
  readonly head: Head;
  readonly edit: Edit;
  readonly shards: readonly Shard[];
  readonly change: Change;
  readonly values: readonly NewValue[];
  /** Garbage from before this Unix time in milliseconds is removed. */
  readonly oldestKeptMs: number;
}

const MAX_CHANGES = 128;
const ARCHIVE_BATCH_SIZE = 64;
const MAX_ARCHIVE_KEYS = 500;
const MAX_DELTA_BYTES = 8192;
const MAX_TOTAL_DELTA_BYTES = 32_768;

/** Plans the new head and the values that must be stored before it. */
export function planNextHead(input: NextHeadInput): PlannedChange {
  const {head, shards, oldestKeptMs} = input;
  const stamps = shards.map(shard => shard.stamp);
  const delta = createDelta(head.stamps, stamps, input.edit);
  const isSmall = JSON.stringify(delta).length <= MAX_DELTA_BYTES;
  const change = isSmall ? {...input.change, delta} : input.change;
  const archived = archive(head, change.revision);
  const [expired, archiveKeys] = splitArchive(head, archived);
  const replaced = replacedKeys(head.stamps, stamps);
  const sinceMs = change.atMs;
  const old = head.garbage.filter(item => item.sinceMs < oldestKeptMs);
  const young = head.garbage.filter(item => item.sinceMs >= oldestKeptMs);
  const fresh = [...replaced, ...expired].map(key => ({key, sinceMs}));
  return {
    change,
    shards,
    values: [...input.values, ...(archived ? [archived.value] : [])],
    removableKeys: old.map(item => item.key),
    head: {
      revision: change.revision,
      stamps,
      changes: trimDeltas([...(archived?.kept ?? head.changes), change]),
      archive: archiveKeys,
      garbage: [...young, ...fresh],
    },
  };
}

interface Archived {
  readonly value: NewValue;
  readonly kept: readonly Change[];
}

/** Moves the oldest changes, without deltas, to an archive value. */
function archive(head: Head, revision: number): Archived | undefined {
  if (head.changes.length < MAX_CHANGES) return undefined;
  const moved = head.changes.slice(0, ARCHIVE_BATCH_SIZE).map(withoutDelta);
  const name = `${revision}-${Math.random().toString(36).slice(2, 10)}`;
  const key = `configuration/changes/${name}`;
  return {
    value: {key, text: JSON.stringify(moved)},
    kept: head.changes.slice(ARCHIVE_BATCH_SIZE),
  };
}

function splitArchive(
  head: Head,
  archived: Archived | undefined,
): readonly [string[], string[]] {
  const keys = [...head.archive, ...(archived ? [archived.value.key] : [])];
  const surplus = Math.max(0, keys.length - MAX_ARCHIVE_KEYS);
  return [keys.slice(0, surplus), keys.slice(surplus)];
}

function replacedKeys(
  before: readonly string[],
  after: readonly string[],
): readonly string[] {
  return before.flatMap((stamp, index) =>
    stamp !== '' && stamp !== after[index] ? [shardKey(index, stamp)] : [],
  );
}

/** Keeps the newest deltas, up to {@link MAX_TOTAL_DELTA_BYTES} in total. */
function trimDeltas(changes: readonly Change[]): Change[] {
  let bytes = 0;
  return changes
    .toReversed()
    .map(change => {
      bytes += change.delta ? JSON.stringify(change.delta).length : 0;
      return bytes > MAX_TOTAL_DELTA_BYTES ? withoutDelta(change) : change;
    })
    .toReversed();
}

function withoutDelta(change: Change): Change {
  return {...change, delta: undefined};
}
