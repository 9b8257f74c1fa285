/**
 * Changes of the configuration, and the head value that lists the newest of
 * them. A small change carries a delta, so that a daemon that is a few
 * revisions behind can apply the deltas instead of fetching whole shards.
 */
import {z} from 'zod';
import {recordSchema} from './records.js';
import {
  editShards,
  SHARD_COUNT,
  type ConfigurationState,
  type Edit,
} from './state.js';

const changeSchema = z.object({
  revision: z.int().min(1),
  /** Chosen by the client, so that a retried request is recognised. */
  changeId: z.string().min(1).max(64),
  /** Digest of the request: tells a retry from an id reused for another. */
  fingerprint: z.string(),
  /** Unix time in milliseconds. */
  atMs: z.int(),
  /** Name of the operator's credential. */
  by: z.string(),
  /** Requested action, such as `PUT customer/can-tho`. */
  action: z.string(),
  /** The edit and the resulting stamps; absent if the change is large. */
  delta: z
    .object({
      put: z.array(recordSchema),
      removed: z.array(z.string()),
      stamps: z.record(z.string(), z.string()),
    })
    .optional(),
});

const headSchema = z.object({
  revision: z.int().min(0),
  stamps: z.array(z.string()).length(SHARD_COUNT),
  changes: z.array(changeSchema),
  /** Store keys of archived changes, oldest first. */
  archive: z.array(z.string()),
  /** Store keys that are no longer referenced, and since when (Unix ms). */
  garbage: z.array(z.object({key: z.string(), sinceMs: z.int()})),
});

/** One accepted change, as listed in the audit. */
export type Change = Readonly<z.infer<typeof changeSchema>>;

/** The value stored under the head's key. */
export type Head = Readonly<z.infer<typeof headSchema>>;

const MAX_KEPT_CHANGES = 128;

/** The head before the first change. */
export const EMPTY_HEAD: Head = {
  revision: 0,
  stamps: Array.from({length: SHARD_COUNT}, () => ''),
  changes: [],
  archive: [],
  garbage: [],
};

/** Parses a head value; throws if it is invalid. */
export function parseHead(text: string): Head {
  return headSchema.parse(JSON.parse(text));
}

/** Parses a list of archived changes. */
export function parseChanges(text: string): readonly Change[] {
  return z.array(changeSchema).parse(JSON.parse(text));
}

/** Describes an edit, with the new stamps of the shards that it touched. */
export function createDelta(
  before: readonly string[],
  after: readonly string[],
  edit: Edit,
): NonNullable<Change['delta']> {
  const touched = [...after.keys()].filter(i => after[i] !== before[i]);
  return {
    put: [...edit.put],
    removed: [...edit.removed],
    stamps: Object.fromEntries(touched.map(i => [String(i), after[i] ?? ''])),
  };
}

/**
 * Applies the changes that are newer than a state. Returns undefined if there
 * are none, if a revision is missing between them, or if one has no delta.
 */
export function applyChanges(
  state: ConfigurationState,
  changes: readonly Change[],
): ConfigurationState | undefined {
  const missing = changes.filter(c => c.revision > state.revision);
  const gapless = missing.every(
    (change, index) =>
      change.delta !== undefined &&
      change.revision === state.revision + index + 1,
  );
  if (!gapless || missing.length === 0) return undefined;
  const next = missing.reduce(
    (last, change) => applyDelta(last, change),
    state,
  );
  const kept = state.changes.filter(c => c.revision <= state.revision);
  return {...next, changes: [...kept, ...missing].slice(-MAX_KEPT_CHANGES)};
}

function applyDelta(
  state: ConfigurationState,
  change: Change,
): ConfigurationState {
  const {delta, revision} = change;
  if (!delta) return state;
  const stampOf = (index: number) => delta.stamps[String(index)] ?? '';
  return {...state, revision, shards: editShards(state.shards, delta, stampOf)};
}
