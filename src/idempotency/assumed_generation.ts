/** A generation assumed from gossip, until one is kept in the store. */
import type {Generation, Generations} from '../member/generation.js';
import type {Membership} from '../member/membership.js';

/** Grows by one with each change of the members that gossip knows. */
export class AssumedGenerations implements Generations {
  readonly #membership: Membership;
  #current: Generation = {number: 0, members: [], witnesses: []};

  constructor(membership: Membership) {
    this.#membership = membership;
  }

  current(): Generation {
    const members = this.#membership
      .members()
      .map(({id, region, failureDomain, peersAddress}) => {
        return {id, region, failureDomain, peersAddress};
      })
      .toSorted((a, b) => (a.id < b.id ? -1 : 1));
    const last = JSON.stringify(this.#current.members);
    if (JSON.stringify(members) !== last) {
      const number = this.#current.number + 1;
      this.#current = {number, members, witnesses: []};
    }
    return this.#current;
  }
}
