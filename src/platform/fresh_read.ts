/**
 * A read that is never stale. Plain reads of the store may lag. A
 * compare-and-swap is decided on the newest state and returns that state when
 * it fails, so one that always fails serves as a read. It counts as a write in
 * the store's budget.
 */
import type {Store, StoredValue} from './store.js';

/** No value has this version, so a compare-and-swap with it always fails. */
const UNUSED_VERSION = -1;

/** Reads the newest value of a key; throws `storeUnavailable`. */
export async function readFresh(
  store: Store,
  key: string,
): Promise<StoredValue | undefined> {
  const result = await store.compareAndSwap(key, UNUSED_VERSION, '');
  return result.swapped ? undefined : result.current;
}
