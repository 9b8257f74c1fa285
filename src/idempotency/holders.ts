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

interface Known {
  readonly number: number;
  readonly members: readonly GenerationMember[];
  /**
   * Since when no daemon has used this generation; monotonic clock,
   * milliseconds. Undefined while that isn't known, and for the newest.
   */
  readonly lapsedAtMs: number | undefined;
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
  #known: readonly Known[] = [];

  constructor(options: HoldersOptions) {
    this.#options = options;
  }

  /** The holders of a key in the order to ask; empty if none is known. */
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

  /** Records a newer generation; to be called whenever there is one. */
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

  /**
   * Generations before the start of this process, or that it missed, count as
   * held by others.
   */
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
