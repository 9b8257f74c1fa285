/**
 * Writes the next generation when the fleet differs from the current one for
 * some seconds. The daemon with the best rank does it; if two believe that
 * they are, the compare-and-swap lets one win. Nothing is written without a
 * valid vouch and before the current generation is in force everywhere, so
 * that there are never more than two generations in use.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Failure, reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import {readFresh} from '../platform/fresh_read.js';
import type {Store} from '../platform/store.js';
import {generationSchema, type Generation, type Vouches} from './generation.js';
import type {GenerationTracker} from './generation_tracker.js';
import {
  eligibleMembers,
  planGeneration,
  hasSameMembers,
} from './generation_plan.js';
import type {Membership} from './membership.js';
import {StableMembers} from './stable_members.js';
import {rankMembers} from './rendezvous.js';

/** Options of {@link GenerationWriter}. */
export interface GenerationWriterOptions {
  readonly store: Store;
  readonly tracker: GenerationTracker;
  readonly vouches: Vouches;
  readonly membership: Membership;
  readonly log: Logger;
}

/** A generation and the store's version of it. */
interface StoredGeneration {
  readonly generation: Generation | undefined;
  readonly version: number;
}

const GENERATION_KEY = 'fleet/generation';
const ROUND_PAUSE_MS = 250;
const STORE_RETRY_PAUSE_MS = 1000;

/** Reads the generation without lag; throws `storeUnavailable`. */
export async function readGeneration(store: Store): Promise<StoredGeneration> {
  const stored = await readFresh(store, GENERATION_KEY);
  if (!stored) return {generation: undefined, version: 0};
  const generation = generationSchema.parse(JSON.parse(stored.value));
  return {generation, version: stored.version};
}

/** The task that writes generations. */
export class GenerationWriter {
  readonly #options: GenerationWriterOptions;
  readonly #stopped = new AbortController();
  readonly #stableMembers = new StableMembers();

  constructor(options: GenerationWriterOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      const pauseMs = await this.#round().then(
        () => ROUND_PAUSE_MS,
        (err: unknown) => {
          this.#options.log.warn(`No new generation: ${reasonOf(err)}.`);
          return STORE_RETRY_PAUSE_MS;
        },
      );
      await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
    }
  }

  async #round(): Promise<void> {
    const {tracker, membership} = this.#options;
    const current = tracker.current();
    const members = this.#stableMembers.select(
      current?.members,
      eligibleMembers(membership.members()),
      performance.now(),
    );
    if (members.length === 0) return;
    const next = planGeneration(current, members);
    if (current && hasSameMembers(current, next)) return;
    if (!this.#isWriter(next)) return;
    if (current && !this.#isInForce(current)) return;
    await this.#write(current, next);
  }

  /** The best of those that are alive writes; all rank them alike. */
  #isWriter(next: Generation): boolean {
    const {membership} = this.#options;
    const alive = next.members.filter(({id}) => membership.member(id));
    const ranked = rankMembers('generation', alive);
    return ranked[0]?.id === this.#options.membership.self().id;
  }

  #isInForce(current: Generation): boolean {
    const {tracker, vouches} = this.#options;
    const vouched = vouches.current()?.generation;
    return vouched === current.number && tracker.isInForce();
  }

  async #write(current: Generation | undefined, next: Generation) {
    const {store, tracker, vouches} = this.#options;
    const stored = await readGeneration(store);
    if (stored.generation && stored.generation.number >= next.number) {
      tracker.adoptIfNewer(stored.generation);
      return;
    }
    if (stored.generation?.number !== current?.number) return;
    const value = JSON.stringify(next);
    const swapped = await this.#swap(stored.version, value);
    if (!swapped) return;
    tracker.adoptIfNewer(next);
    await vouches.raise({generation: next.number});
  }

  /** Swaps; after a lost answer the store tells who won. */
  async #swap(version: number, value: string): Promise<boolean> {
    const {store} = this.#options;
    try {
      const result = await store.compareAndSwap(GENERATION_KEY, version, value);
      return result.swapped;
    } catch (err) {
      if (!(err instanceof Failure)) throw err;
      const stored = await readFresh(store, GENERATION_KEY);
      return stored?.value === value;
    }
  }
}
