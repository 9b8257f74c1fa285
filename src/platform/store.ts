/**
 * The platform's key-value service as the rest of the code sees it: values
 * with versions, compare-and-swap, leases, and watches from a revision.
 * A version is the revision of the whole store at the value's last change.
 */

/** A value and the revision of its last change. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last change; always above zero. */
  readonly version: number;
}

/** What a compare-and-swap ended in. */
export type SwapResult =
  | {readonly swapped: true; readonly version: number}
  | {readonly swapped: false; readonly current: StoredValue | undefined};

/** A change seen by a watch; `value` is undefined after a removal. */
export interface StoreEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly version: number;
}

/** What a watch returned when it ended, with or without events. */
export interface WatchResult {
  /** Watch again from here. */
  readonly revision: number;
  readonly events: readonly StoreEvent[];
}

/** Largest value that the store takes, in bytes. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * The calls of the store. Each throws `storeUnavailable` when the outcome of
 * the call isn't known: a write may then have taken effect.
 */
export interface Store {
  get(key: string): Promise<StoredValue | undefined>;
  list(prefix: string): Promise<readonly StoredValue[]>;
  /** Writes if the version is still `expected`; 0 means "absent". */
  compareAndSwap(
    key: string,
    expected: number,
    value: string,
    leaseId?: string,
  ): Promise<SwapResult>;
  /** Removes if the version is still `expected`. */
  remove(key: string, expected: number): Promise<SwapResult>;
  /** Grants a lease; values bound to it vanish when it lapses. */
  grantLease(ttlMs: number): Promise<string>;
  /** False if the lease has lapsed already. */
  renewLease(leaseId: string): Promise<boolean>;
  revokeLease(leaseId: string): Promise<void>;
  /** Waits until something under `prefix` changed after `revision`. */
  watch(
    prefix: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult>;
}
