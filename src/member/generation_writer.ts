/**
 * Writes the next generation once the fleet has differed from the current one
 * for some seconds. The live daemon with the highest rank writes it; if two
 * daemons both rank themselves highest, only one compare-and-swap succeeds. A
 * generation is written only with a valid vouch and after the current one is in
 * force on all daemons, so that at most two generations are in use at any time.
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

/** A generation with its version in the store. */
interface StoredGeneration {
  readonly generation: Generation | undefined;
  readonly version: number;
}

const GENERATION_KEY = 'fleet/generation';
const ROUND_PAUSE_MS = 250;
const STORE_RETRY_PAUSE_MS = 1000;

/** Reads the generation without staleness; throws `storeUnavailable`. */
export async function readGeneration(store: Store): Promise<StoredGeneration> {
  const stored = await readFresh(store, GENERATION_KEY);
  if (!stored) return {generation: undefined, version: 0};
  const generation = generationSchema.parse(JSON.parse(stored.value));
  return {generation, version: stored.version};
}

/** Checks at a fixed interval whether to write the next generation. */
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
          this.#options.log.warn(
            `Could not write a new generation: ${reasonOf(err)}.`,
          );
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

  /** The live member with the highest rank writes; all daemons rank alike. */
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

  /** If the call fails, reads the store to see whether it took effect. */
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
