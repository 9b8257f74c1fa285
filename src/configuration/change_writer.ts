/**
 * Writes changes to the store. The shards that a change touches are written
 * first, as new values, and then the head by compare-and-swap, so that a change
 * is applied as a whole or not at all. If the store's answer is lost, the swap
 * is retried: the store applies it at most once, and the head that it returns
 * instead shows which change won.
 */
import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Failure, isFailure} from '../errors/failure.js';
import {readFresh} from '../platform/fresh_read.js';
import type {Store} from '../platform/store.js';
import {EMPTY_HEAD, parseHead, type Change, type Head} from './changes.js';
import {planNextHead, type PlannedChange} from './next_head.js';
import {
  editShards,
  pruneEdit,
  shardText,
  type ConfigurationState,
  type Edit,
} from './state.js';
import {
  HEAD_KEY,
  loadState,
  readShardFrom,
  shardKey,
  type StoredHead,
} from './store_reader.js';

/** A requested change. */
export interface ChangeRequest {
  readonly changeId: string;
  readonly fingerprint: string;
  readonly by: string;
  readonly action: string;
  /** Computes the edit from the current state; throws a `Failure` to refuse. */
  readonly edit: (state: ConfigurationState) => Edit;
  /** Whether to recompute the edit if another change was written first. */
  readonly retryOnConflict: boolean;
}

/** The outcome of an accepted change. */
export interface ChangeOutcome {
  /** The change, or undefined if nothing had to be changed. */
  readonly change: Change | undefined;
  /** Whether an earlier request with the same id had already made it. */
  readonly repeated: boolean;
  readonly state: ConfigurationState;
}

type SwapOutcome =
  {readonly won: true} | {readonly won: false; readonly current: StoredHead};

const MAX_RACES = 8;
const MAX_ATTEMPTS = 5;
const BACKOFF_BASE_MS = 100;
const MAX_PARALLEL_WRITES = 8;
const GARBAGE_RETENTION_MS = 60_000;
const STAMP_BYTES = 4;

/** Writes changes to the store. */
export class ChangeWriter {
  readonly #store: Store;
  readonly #latest: () => ConfigurationState;

  /** `latest` returns a recent state, so that only differences are read. */
  constructor(store: Store, latest: () => ConfigurationState) {
    this.#store = store;
    this.#latest = latest;
  }

  /**
   * Writes a change. Throws `writeConflict` if another change won the swap,
   * `changeUnknown` if the outcome of the swap remains unknown, and whatever
   * the edit throws.
   */
  async write(request: ChangeRequest): Promise<ChangeOutcome> {
    let stored = await retry(() => this.#readHead());
    let races = 0;
    while (races < MAX_RACES) {
      const state = await this.#load(stored.head);
      const earlier = findRepeated(stored.head, request);
      if (earlier) return {change: earlier, repeated: true, state};
      const edit = pruneEdit(state, request.edit(state));
      if (edit.put.length + edit.removed.length === 0) {
        return {change: undefined, repeated: false, state};
      }
      const newest = this.#latest().revision;
      const planned = plan(stored.head, state, edit, request, newest);
      const result = await this.#commit(stored, planned);
      if (result.won) return toOutcome(planned);
      if (!request.retryOnConflict) break;
      stored = result.current;
      races += 1;
    }
    const reason = 'the configuration changed in the meantime';
    throw new Failure('writeConflict', {record: request.action, reason});
  }

  /** Unlike a plain read, never returns a stale head. */
  async #readHead(): Promise<StoredHead> {
    const stored = await readFresh(this.#store, HEAD_KEY);
    if (!stored) return {head: EMPTY_HEAD, version: 0};
    return {head: parseHead(stored.value), version: stored.version};
  }

  async #load(head: Head): Promise<ConfigurationState> {
    const readShard = readShardFrom(this.#store);
    return retry(() => loadState(this.#latest(), head, readShard));
  }

  async #commit(
    stored: StoredHead,
    planned: PlannedChange,
  ): Promise<SwapOutcome> {
    const values = planned.values.values();
    const writeAll = async () => {
      for (const {key, text} of values) await this.#writeNew(key, text);
    };
    await Promise.all(Array.from({length: MAX_PARALLEL_WRITES}, writeAll));
    const result = await this.#swapHead(stored.version, planned);
    const removable = result.won
      ? planned.removableKeys
      : planned.values.map(value => value.key);
    void this.#removeValues(removable);
    return result;
  }

  /** The key is unique, so an existing value must be from a prior attempt. */
  async #writeNew(key: string, text: string): Promise<void> {
    await retry(() => this.#store.compareAndSwap(key, 0, text));
  }

  async #swapHead(
    version: number,
    planned: PlannedChange,
  ): Promise<SwapOutcome> {
    const {head, change} = planned;
    const value = JSON.stringify(head);
    const result = await retry(() =>
      this.#store.compareAndSwap(HEAD_KEY, version, value),
    ).catch((err: unknown) => {
      if (!isFailure(err, 'storeUnavailable')) throw err;
      const {changeId} = change;
      throw new Failure('changeUnknown', {changeId, reason: err.message}, err);
    });
    if (result.swapped) return {won: true};
    const current = result.current;
    if (!current) return {won: false, current: await this.#readHead()};
    const now = {head: parseHead(current.value), version: current.version};
    return resolveLostSwap(now, change);
  }

  async #removeValues(keys: readonly string[]): Promise<void> {
    for (const key of keys) {
      const stored = await this.#store.get(key).catch(() => undefined);
      if (!stored) continue;
      await this.#store.remove(key, stored.version).catch(() => undefined);
    }
  }
}

/** Checks whether the current head already contains our change. */
function resolveLostSwap(now: StoredHead, change: Change): SwapOutcome {
  const oldest = now.head.changes[0]?.revision ?? 0;
  if (oldest > change.revision) {
    const reason =
      'too many later changes were written to tell whether it was applied';
    throw new Failure('changeUnknown', {changeId: change.changeId, reason});
  }
  const there = now.head.changes.some(c => c.changeId === change.changeId);
  return there ? {won: true} : {won: false, current: now};
}

function findRepeated(head: Head, request: ChangeRequest): Change | undefined {
  const {changeId, fingerprint} = request;
  const earlier = head.changes.find(change => change.changeId === changeId);
  if (!earlier || earlier.fingerprint === fingerprint) return earlier;
  throw new Failure('changeIdReused', {changeId});
}

function plan(
  head: Head,
  state: ConfigurationState,
  edit: Edit,
  request: ChangeRequest,
  newest: number,
): PlannedChange {
  const revision = Math.max(head.revision, newest) + 1;
  const attempt = randomBytes(STAMP_BYTES).toString('hex');
  const stamp = `${revision}-${attempt}`;
  const shards = editShards(state.shards, edit, () => stamp);
  const values = shards.flatMap((shard, index) =>
    shard === state.shards[index]
      ? []
      : [{key: shardKey(index, stamp), text: shardText(shard)}],
  );
  const {changeId, fingerprint, by, action} = request;
  const made = {revision, changeId, fingerprint, by, action, atMs: Date.now()};
  const oldestKeptMs = Date.now() - GARBAGE_RETENTION_MS;
  return planNextHead({head, edit, shards, change: made, values, oldestKeptMs});
}

function toOutcome(planned: PlannedChange): ChangeOutcome {
  const {head, shards, change} = planned;
  const {revision, changes} = head;
  return {change, repeated: false, state: {revision, changes, shards}};
}

/** Retries an idempotent task with backoff while the store is unavailable. */
async function retry<Result>(task: () => Promise<Result>): Promise<Result> {
  let attempts = 1;
  while (attempts < MAX_ATTEMPTS) {
    try {
      return await task();
    } catch (err) {
      if (!isFailure(err, 'storeUnavailable')) throw err;
      await sleep(BACKOFF_BASE_MS * 2 ** attempts);
      attempts += 1;
    }
  }
  return task();
}
