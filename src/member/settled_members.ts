/**
 * Which members the next generation should have. Gossip changes all the time
 * in a large fleet, so each member is looked at by itself: one that joins must
 * have been there for a while, and one that is missing must have been away for
 * longer, since most are only restarting and come back to their duties.
 */
import type {GenerationMember} from './generation.js';

/** Joining daemons are taken in after this. */
const JOIN_MS = 3000;
/** The first daemons of a fleet are taken in after this. */
const FIRST_JOIN_MS = 1000;
/** Daemons that are away for longer lose their duties. */
const REMOVAL_MS = 8000;
/** Those that join at about the same time are taken in together. */
const JOIN_TOGETHER_MS = 6000;

/** Remembers since when members differ from the generation. */
export class SettledMembers {
  #sinceMs: ReadonlyMap<string, number> = new Map();

  /** The members that a generation after `current` should have now. */
  settle(
    current: readonly GenerationMember[] | undefined,
    alive: readonly GenerationMember[],
    nowMs: number,
  ): readonly GenerationMember[] {
    const members = current ?? [];
    const joining = without(alive, members);
    const missing = without(members, alive);
    this.#note([...joining, ...missing], nowMs);
    const needed = current ? JOIN_MS : FIRST_JOIN_MS;
    const ages = joining.map(member => this.#ageMs(member, nowMs));
    const together =
      ages.every(age => age >= needed) ||
      ages.some(age => age >= JOIN_TOGETHER_MS);
    const joined = joining.filter(
      member => together && this.#ageMs(member, nowMs) >= needed,
    );
    const joinedIds = new Set(joined.map(member => member.id));
    const gone = missing.filter(
      member =>
        joinedIds.has(member.id) || this.#ageMs(member, nowMs) >= REMOVAL_MS,
    );
    return [...without(members, gone), ...joined].toSorted((a, b) =>
      a.id < b.id ? -1 : 1,
    );
  }

  #note(different: readonly GenerationMember[], nowMs: number): void {
    this.#sinceMs = new Map(
      different.map(keyOf).map(key => [key, this.#sinceMs.get(key) ?? nowMs]),
    );
  }

  #ageMs(member: GenerationMember, nowMs: number): number {
    return nowMs - (this.#sinceMs.get(keyOf(member)) ?? nowMs);
  }
}

function without(
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
