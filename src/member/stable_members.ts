/**
 * Which members the next generation should have. Gossip changes all the time
 * in a large fleet, so each member is looked at by itself: one that joins must
 * have been there for a while, and one that is missing must have been away for
 * longer, since most are only restarting and come back to their duties.
 */
import type {GenerationMember} from './generation.js';

/** Joining daemons are taken in after this. */
const JOIN_DELAY_MS = 3000;
/** The first daemons of a fleet are taken in after this. */
const FIRST_JOIN_DELAY_MS = 1000;
/** Daemons that are away for longer lose their duties. */
const REMOVAL_DELAY_MS = 8000;
/** Those that join at about the same time are taken in isBatchReady. */
const MAX_JOIN_BATCHING_MS = 6000;

/** Remembers since when members differ from the generation. */
export class StableMembers {
  #differsSinceMs: ReadonlyMap<string, number> = new Map();

  /** The members that a generation after `current` should have now. */
  select(
    current: readonly GenerationMember[] | undefined,
    alive: readonly GenerationMember[],
    nowMs: number,
  ): readonly GenerationMember[] {
    const members = current ?? [];
    const joining = subtract(alive, members);
    const missing = subtract(members, alive);
    this.#trackDifferences([...joining, ...missing], nowMs);
    const delayMs = current ? JOIN_DELAY_MS : FIRST_JOIN_DELAY_MS;
    const agesMs = joining.map(member => this.#ageMs(member, nowMs));
    const isBatchReady =
      agesMs.every(ageMs => ageMs >= delayMs) ||
      agesMs.some(ageMs => ageMs >= MAX_JOIN_BATCHING_MS);
    const admitted = joining.filter(
      member => isBatchReady && this.#ageMs(member, nowMs) >= delayMs,
    );
    const admittedIds = new Set(admitted.map(member => member.id));
    const removed = missing.filter(
      member =>
        admittedIds.has(member.id) ||
        this.#ageMs(member, nowMs) >= REMOVAL_DELAY_MS,
    );
    return [...subtract(members, removed), ...admitted].toSorted((a, b) =>
      a.id < b.id ? -1 : 1,
    );
  }

  #trackDifferences(
    differing: readonly GenerationMember[],
    nowMs: number,
  ): void {
    this.#differsSinceMs = new Map(
      differing
        .map(keyOf)
        .map(key => [key, this.#differsSinceMs.get(key) ?? nowMs]),
    );
  }

  #ageMs(member: GenerationMember, nowMs: number): number {
    return nowMs - (this.#differsSinceMs.get(keyOf(member)) ?? nowMs);
  }
}

function subtract(
  members: readonly GenerationMember[],
  others: readonly GenerationMember[],
): readonly GenerationMember[] {
  const keys = new Set(others.map(keyOf));
  return members.filter(member => !keys.has(keyOf(member)));
}

/** A process at another address is another daemon. */
function keyOf({id, peersAddress}: GenerationMember): string {
  return `${id} ${peersAddress}`;
}
