/**
 * Which daemon keeps the count of a shared limit: rendezvous hashing over the
 * daemons that this one reaches now.
 */
import {rankMembers} from '../../member/rendezvous.js';

/** The daemons among which owners are chosen, as this one sees them. */
export interface OwnerCandidates {
  readonly selfId: string;
  /** Ids of the daemons that can be asked now. */
  reachable(): readonly string[];
}

/** Chooses owners, and remembers them while the same daemons are seen. */
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
