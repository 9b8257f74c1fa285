/**
 * Selects the members of the next generation. In a large fleet the gossiped
 * view changes all the time, so a delay applies to each member by itself: a
 * joining member must have been alive for some time, and a missing member must
 * have been away for longer, since most are only restarting and will resume
 * their duties.
 */
import type {GenerationMember} from './generation.js';

/** How long a joining daemon must have been alive. */
const JOIN_DELAY_MS = 3000;
/** The same for the first generation of a fleet. */
const FIRST_JOIN_DELAY_MS = 1000;
/** How long a daemon must have been missing before it is removed. */
const REMOVAL_DELAY_MS = 8000;
/** How long joins are held back, so that daemons are admitted together. */
const MAX_JOIN_BATCHING_MS = 6000;

/** Tracks how long each member has differed from the generation. */
export class StableMembers {
  #differsSinceMs: ReadonlyMap<string, number> = new Map();

  /** Selects the members of the generation after `current`. */
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

/** The address is included: the same id elsewhere is another daemon. */
function keyOf({id, peersAddress}: GenerationMember): string {
  return `${id} ${peersAddress}`;
}
