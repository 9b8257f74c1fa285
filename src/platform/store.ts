/**
 * Interface of the platform's key-value service: versioned values,
 * compare-and-swap, leases, and watches from a revision. A value's version is
 * the revision of the whole store at the value's last change.
 */

/** A value and its version. */
export interface StoredValue {
  readonly key: string;
  readonly value: string;
  /** Store revision of the last change; always above zero. */
  readonly version: number;
}

/** Outcome of a compare-and-swap. */
export type SwapResult =
  | {readonly swapped: true; readonly version: number}
  | {readonly swapped: false; readonly current: StoredValue | undefined};

/** A change reported by a watch; `value` is undefined after a removal. */
export interface StoreEvent {
  readonly key: string;
  readonly value: string | undefined;
  readonly version: number;
}

/** Result of one watch call; without events if the wait ran out. */
export interface WatchResult {
  /** The next watch starts here. */
  readonly revision: number;
  readonly events: readonly StoreEvent[];
}

/** Maximum size of a value that the store accepts. */
export const MAX_VALUE_BYTES = 1_000_000;

/**
 * The store's calls. Each throws `storeUnavailable` when the outcome of the
 * call is unknown; a write may have taken effect in that case.
 */
export interface Store {
  get(key: string): Promise<StoredValue | undefined>;
  list(prefix: string): Promise<readonly StoredValue[]>;
  /** Writes if the version is still `expected`; 0 expects no value. */
  compareAndSwap(
    key: string,
    expected: number,
    value: string,
    leaseId?: string,
  ): Promise<SwapResult>;
  /** Removes if the version is still `expected`. */
  remove(key: string, expected: number): Promise<SwapResult>;
  /** Grants a lease; values bound to it are removed when it expires. */
  grantLease(ttlMs: number): Promise<string>;
  /** Returns false if the lease has already expired. */
  renewLease(leaseId: string): Promise<boolean>;
  revokeLease(leaseId: string): Promise<void>;
  /** Waits up to `waitMs` for changes under `prefix` after `revision`. */
  watch(
    prefix: string,
    revision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult>;
}
