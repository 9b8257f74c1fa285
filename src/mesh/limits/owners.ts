/**
 * Selects the daemon that counts the tokens of a shared limit (its owner), by
 * rendezvous hashing over the daemons that are reachable now.
 */
import {rankMembers} from '../../member/rendezvous.js';

/** The daemons that can be owners, from this daemon's point of view. */
export interface OwnerCandidates {
  readonly selfId: string;
  /** Ids of the other daemons that can be reached now. */
  reachable(): readonly string[];
}

/** Selects owners; caches them while the reachable daemons stay the same. */
export class Owners {
  readonly #candidates: OwnerCandidates;
  readonly #owners = new Map<string, string>();
  #members = '';

  constructor(candidates: OwnerCandidates) {
    this.#candidates = candidates;
  }

  ownerOf(name: string): string {
    const {selfId} = this.#candidates;
    const ids = [selfId, ...this.#candidates.reachable()];
    const members = ids.join(' ');
    if (members !== this.#members) this.#owners.clear();
    this.#members = members;
    const known = this.#owners.get(name);
    if (known !== undefined) return known;
    const ranked = rankMembers(
      name,
      ids.map(id => ({id})),
    );
    const owner = ranked[0]?.id ?? selfId;
    this.#owners.set(name, owner);
    return owner;
  }
}
