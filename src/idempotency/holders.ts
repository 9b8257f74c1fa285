/**
 * Selects the holders of an idempotency key: the two members of the generation
 * (a numbered member list) that rank highest by rendezvous hashing, in two
 * failure domains if there are two. A daemon also tracks since when it has
 * been a holder, because earlier attempts were recorded by the holders of
 * earlier generations.
 */
import type {
  Generation,
  GenerationMember,
  Generations,
} from '../member/generation.js';
import {rankMembers} from '../member/rendezvous.js';

interface KnownGeneration {
  readonly number: number;
  readonly members: readonly GenerationMember[];
  /**
   * Since when no daemon has used this generation; monotonic clock,
   * milliseconds. Undefined while that isn't known, and for the newest.
   */
  readonly unusedSinceMs: number | undefined;
}

/** Options of {@link Holders}. */
export interface HoldersOptions {
  readonly selfId: string;
  readonly generations: Generations;
  readonly retentionMs: number;
}

/**
 * Selects holders by the newest generation, and keeps the generations of the
 * retention time to tell since when this daemon has held a key.
 */
export class Holders {
  readonly #options: HoldersOptions;
  /** Newest first; older ones are kept for the retention time. */
  #generations: readonly KnownGeneration[] = [];

  constructor(options: HoldersOptions) {
    this.#options = options;
  }

  /** The holders of a key in the order to ask; empty if none is known. */
  findHolders(name: string): readonly GenerationMember[] {
    this.refresh();
    return chooseHolders(name, this.#generations[0]?.members ?? []);
  }

  /**
   * Since when this daemon has recorded every attempt with a key; monotonic
   * clock, milliseconds.
   */
  heldSinceMs(name: string): number {
    this.refresh();
    const {selfId} = this.#options;
    const newestHeldByOthers = this.#generations.find(({members}) => {
      const holders = chooseHolders(name, members);
      return holders.every(holder => holder.id !== selfId);
    });
    if (!newestHeldByOthers)
      return this.#generations.length > 0 ? 0 : performance.now();
    return newestHeldByOthers.unusedSinceMs ?? performance.now();
  }

  /** Records a newer generation; to be called whenever there is one. */
  refresh(): void {
    const {generations, retentionMs} = this.#options;
    const newest = generations.current();
    const last = this.#generations[0]?.number ?? 0;
    if (newest && newest.number > last) this.#addGeneration(newest, last);
    const oldestMs = performance.now() - retentionMs;
    const previousUnusedSinceMs = generations.movedDutiesFromMs();
    this.#generations = this.#generations
      .map((known, index) =>
        index === 0
          ? known
          : {
              ...known,
              unusedSinceMs: known.unusedSinceMs ?? previousUnusedSinceMs,
            },
      )
      .filter(({unusedSinceMs}) => (unusedSinceMs ?? Infinity) > oldestMs);
  }

  /**
   * Generations before the start of this process, or that it missed, count as
   * held by others.
   */
  #addGeneration({number, members}: Generation, last: number): void {
    const unusedSinceMs = undefined;
    const isNext = last > 0 && number === last + 1;
    const missedGeneration = {number: number - 1, members: [], unusedSinceMs};
    const before = isNext
      ? this.#generations
      : [missedGeneration, ...this.#generations];
    this.#generations = [{number, members, unusedSinceMs}, ...before];
  }
}

function chooseHolders(
  name: string,
  members: readonly GenerationMember[],
): readonly GenerationMember[] {
  const [first, ...others] = rankMembers(name, members);
  if (!first) return [];
  const inOtherDomain = others.find(other => {
    return other.failureDomain !== first.failureDomain;
  });
  const second = inOtherDomain ?? others[0];
  return second ? [first, second] : [first];
}
