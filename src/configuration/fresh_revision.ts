/** Reads the newest accepted revision from the store, never a stale one. */
import {z} from 'zod';
import {readFresh} from '../platform/fresh_read.js';
import type {Store} from '../platform/store.js';

const HEAD_KEY = 'configuration/head';

const headSchema = z.object({revision: z.int().min(1)});

/** Returns the newest accepted revision; 0 if there is none. */
export async function readFreshRevision(store: Store): Promise<number> {
  const stored = await readFresh(store, HEAD_KEY);
  if (!stored) return 0;
  return headSchema.parse(JSON.parse(stored.value)).revision;
}
