/**
 * A generation of the fleet: the members that hold shares of rates and other
 * duties. It is kept in the store and changed by compare-and-swap only, so
 * that all daemons agree on it; liveness in between is a matter of gossip.
 */

/** A member of a generation. */
export interface GenerationMember {
  readonly id: string;
  readonly failureDomain: string;
  readonly region: string;
  readonly peersAddress: string;
}

/** One generation; numbers grow by one. */
export interface Generation {
  readonly number: number;
  readonly members: readonly GenerationMember[];
  /** Ids of the members that vouch; at most a few per failure domain. */
  readonly witnesses: readonly string[];
}

/** The newest generation that this daemon knows. */
export interface Generations {
  current(): Generation | undefined;
}

/**
 * What a majority of the witnesses vouches for: that there is no newer
 * generation, and no accepted configuration above `revision`.
 */
export interface Vouch {
  readonly generation: number;
  readonly revision: number;
  /** Void after this; monotonic clock of this daemon, milliseconds. */
  readonly validUntilMs: number;
}

/** The vouches that this daemon collected. */
export interface Vouches {
  /** The vouch that is valid now, `undefined` if there is none. */
  current(): Vouch | undefined;
  /**
   * Tells the witnesses of a newer generation or revision. Resolves to true
   * once a majority took it in, which from then on vouches for nothing older.
   */
  raise(newer: {
    readonly generation?: number;
    readonly revision?: number;
  }): Promise<boolean>;
}
