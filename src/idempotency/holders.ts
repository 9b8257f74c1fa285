/**
 * Which daemons hold a key: the two best members of the generation by
 * rendezvous, in two failure domains where there are two. A holder also needs
 * to know since when it has been one, because earlier attempts were recorded
 * at the holders of their time.
 */
import type {
  Generation,
  GenerationMember,
  Generations,
} from '../member/generation.js';
import {rankMembers} from '../member/rendezvous.js';

interface Known {
  readonly number: number;
  readonly members: readonly GenerationMember[];
  /**
   * When no daemon went by it any more; monotonic clock, milliseconds.
   * Undefined while that isn't known, and for the newest.
   */
  readonly lapsedAtMs: number | undefined;
}

/** Options of {@link Holders}. */
export interface HoldersOptions {
  readonly selfId: string;
  readonly generations: Generations;
  readonly retentionMs: number;
}

/** The holders by the newest generation, and the past of this daemon. */
export class Holders {
  readonly #options: HoldersOptions;
  /** The newest first; the older ones as far as the retention time needs. */
  #known: readonly Known[] = [];

  constructor(options: HoldersOptions) {
    this.#options = options;
  }

  /** The holders of a key, the first to ask first; empty if none is known. */
  of(name: string): readonly GenerationMember[] {
    this.refresh();
    return chooseHolders(name, this.#known[0]?.members ?? []);
  }

  /**
   * Since when this daemon has recorded every attempt with a key; monotonic
   * clock, milliseconds.
   */
  heldSinceMs(name: string): number {
    this.refresh();
    const {selfId} = this.#options;
    const heldByOthers = this.#known.find(({members}) => {
      const holders = chooseHolders(name, members);
      return holders.every(holder => holder.id !== selfId);
    });
    if (!heldByOthers) return this.#known.length > 0 ? 0 : performance.now();
    return heldByOthers.lapsedAtMs ?? performance.now();
  }

  /** Notes a newer generation; called whenever there is one. */
  refresh(): void {
    const {generations, retentionMs} = this.#options;
    const newest = generations.current();
    const last = this.#known[0]?.number ?? 0;
    if (newest && newest.number > last) this.#add(newest, last);
    const oldestMs = performance.now() - retentionMs;
    const movedAtMs = generations.movedDutiesFromMs();
    this.#known = this.#known
      .map((known, index) =>
        index === 0
          ? known
          : {...known, lapsedAtMs: known.lapsedAtMs ?? movedAtMs},
      )
      .filter(({lapsedAtMs}) => (lapsedAtMs ?? Infinity) > oldestMs);
  }

  /** What was before the start, or was missed, was held by others. */
  #add({number, members}: Generation, last: number): void {
    const lapsedAtMs = undefined;
    const isNext = last > 0 && number === last + 1;
    const missed = {number: number - 1, members: [], lapsedAtMs};
    const before = isNext ? this.#known : [missed, ...this.#known];
    this.#known = [{number, members, lapsedAtMs}, ...before];
  }
}

function chooseHolders(
  name: string,
  members: readonly GenerationMember[],
): readonly GenerationMember[] {
  const [first, ...others] = rankMembers(name, members);
  if (!first) return [];
  const elsewhere = others.find(other => {
    return other.failureDomain !== first.failureDomain;
  });
  const second = elsewhere ?? others[0];
  return second ? [first, second] : [first];
}
