/**
 * A read that is never stale. Plain reads of the store may lag; a
 * compare-and-swap is decided on the newest state and tells it when it loses,
 * so one that can't win serves as a read. It costs a write's share of the
 * store's budget.
 */
import type {Store, StoredValue} from './store.js';

/** No value ever has this version. */
const UNUSED_VERSION = -1;

/** The newest value of a key; throws `storeUnavailable`. */
export async function readFresh(
  store: Store,
  key: string,
): Promise<StoredValue | undefined> {
  const result = await store.compareAndSwap(key, UNUSED_VERSION, '');
  return result.swapped ? undefined : result.current;
}
