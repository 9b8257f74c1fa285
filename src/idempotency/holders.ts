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

/**
 * How long daemons may still claim by an older generation after a newer one
 * is known here.
 */
const GENERATION_LAPSE_MS = 5000;

interface Known {
  readonly generation: Generation;
  /** When it was first seen here; monotonic clock, milliseconds. */
  readonly seenAtMs: number;
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
  readonly #startedAtMs = performance.now();
  /** The newest first; the older ones as far as the retention time needs. */
  #known: readonly Known[] = [];

  constructor(options: HoldersOptions) {
    this.#options = options;
  }

  /** The holders of a key, the first to ask first; empty if none is known. */
  of(name: string): readonly GenerationMember[] {
    this.refresh();
    const newest = this.#known[0]?.generation;
    return newest ? chooseHolders(name, newest.members) : [];
  }

  /**
   * Since when this daemon has recorded every attempt with a key; monotonic
   * clock, milliseconds.
   */
  heldSinceMs(name: string): number {
    this.refresh();
    const {selfId} = this.#options;
    const firstOther = this.#known.findIndex(({generation}) => {
      const holders = chooseHolders(name, generation.members);
      return holders.every(holder => holder.id !== selfId);
    });
    if (firstOther < 0) return this.#startedAtMs;
    const since = this.#known[firstOther - 1];
    // By the newest generation this daemon is no holder at all.
    if (!since) return performance.now();
    return since.seenAtMs + GENERATION_LAPSE_MS;
  }

  /** Notes a newer generation; called with each claim and now and then. */
  refresh(): void {
    const newest = this.#options.generations.current();
    const last = this.#known[0]?.generation.number ?? -1;
    if (!newest || newest.number <= last) return;
    const nowMs = performance.now();
    const keptMs = this.#options.retentionMs + GENERATION_LAPSE_MS;
    const seenAtMs = nowMs;
    const all = [{generation: newest, seenAtMs}, ...this.#known];
    // An older one counts until the next one has been there long enough.
    this.#known = all.filter((_, index) => {
      const next = all[index - 1];
      return !next || nowMs - next.seenAtMs < keptMs;
    });
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
