/**
 * The configuration as the store keeps it: one head value that names the
 * revision and holds the records. A change swaps the head as a whole.
 */
import {z} from 'zod';
import type {Store} from '../platform/store.js';
import {recordSchema, type ConfigurationRecord} from './records.js';

/** All records of one revision. */
export interface Snapshot {
  readonly revision: number;
  readonly records: readonly ConfigurationRecord[];
}

/** A snapshot and the store's version of the head it was read from. */
export interface StoredSnapshot {
  readonly snapshot: Snapshot;
  readonly version: number;
}

const HEAD_KEY = 'configuration/head';

const snapshotSchema = z.strictObject({
  revision: z.int().min(1),
  records: z.array(recordSchema),
});

/** Reads the snapshot; revision 0 if the store has none. */
export async function readSnapshot(store: Store): Promise<StoredSnapshot> {
  const stored = await store.get(HEAD_KEY);
  if (!stored) return {snapshot: {revision: 0, records: []}, version: 0};
  const snapshot = snapshotSchema.parse(JSON.parse(stored.value));
  return {snapshot, version: stored.version};
}

/** Writes the next snapshot; false if somebody else was faster. */
export async function writeSnapshot(
  store: Store,
  last: StoredSnapshot,
  records: readonly ConfigurationRecord[],
): Promise<Snapshot | undefined> {
  const next = {revision: last.snapshot.revision + 1, records};
  const value = JSON.stringify(next);
  const result = await store.compareAndSwap(HEAD_KEY, last.version, value);
  return result.swapped ? next : undefined;
}
