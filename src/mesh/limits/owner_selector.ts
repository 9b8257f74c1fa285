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
export class OwnerSelector {
  readonly #candidates: OwnerCandidates;
  readonly #ownerByName = new Map<string, string>();
  #cachedFor = '';

  constructor(candidates: OwnerCandidates) {
    this.#candidates = candidates;
  }

  ownerOf(name: string): string {
    const {selfId} = this.#candidates;
    const ids = [selfId, ...this.#candidates.reachable()];
    const members = ids.join(' ');
    if (members !== this.#cachedFor) this.#ownerByName.clear();
    this.#cachedFor = members;
    const known = this.#ownerByName.get(name);
    if (known !== undefined) return known;
    const ranked = rankMembers(
      name,
      ids.map(id => ({id})),
    );
    const owner = ranked[0]?.id ?? selfId;
    this.#ownerByName.set(name, owner);
    return owner;
  }
}
