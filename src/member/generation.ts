/**
 * A generation of the fleet: the members that hold shares of rates and other
 * duties. It is kept in the store and changed by compare-and-swap only, so
 * that all daemons agree on it; liveness in between is a matter of gossip.
 */
import {z} from 'zod';

const memberSchema = z.strictObject({
  id: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  peersAddress: z.string(),
});

/** The schema of a generation as the store keeps it. */
export const generationSchema = z.strictObject({
  /** Grows by one. */
  number: z.int().min(1),
  members: z.array(memberSchema),
  /** Ids of the members that vouch; at most a few per failure domain. */
  witnesses: z.array(z.string()),
  /** The witnesses of the generation before; empty for the first one. */
  previousWitnesses: z.array(memberSchema),
});

/** A member of a generation. */
export type GenerationMember = Readonly<z.infer<typeof memberSchema>>;

/** One generation. */
export interface Generation {
  readonly number: number;
  readonly members: readonly GenerationMember[];
  readonly witnesses: readonly string[];
  readonly previousWitnesses: readonly GenerationMember[];
}

/** The newest generation that this daemon knows. */
export interface Generations {
  current(): Generation | undefined;
  /** The one that this process knew before it, if it was its predecessor. */
  previous(): Generation | undefined;
  /**
   * When duties that moved with the current generation may be taken up: no
   * daemon holds a valid vouch for the one before any more. Monotonic clock,
   * milliseconds; `undefined` while that isn't known.
   */
  movedDutiesFromMs(): number | undefined;
  /** True once nobody uses duties or loans of the generation before. */
  isInForce(): boolean;
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

/** How long a vouch holds, counted by who asks from when it asked. */
export const VOUCH_LIFETIME_MS = 4000;

/** Waited by others until a vouch is surely void, with clocks that drift. */
export const VOUCH_LAPSE_MS = 4500;

/** What was lent under the generation before must have expired as well. */
export const LOAN_LAPSE_MS = 2500;

/** The witnesses of a generation with their addresses. */
export function witnessesOf(
  generation: Generation,
): readonly GenerationMember[] {
  const ids = new Set(generation.witnesses);
  return generation.members.filter(member => ids.has(member.id));
}

/** What a daemon is told apart by: a new address makes another daemon. */
export type DaemonIdentity = Pick<GenerationMember, 'id' | 'peersAddress'>;

/** True if both are the same daemon, restarted or not. */
export function isSameDaemon(a: DaemonIdentity, b: DaemonIdentity): boolean {
  return a.id === b.id && a.peersAddress === b.peersAddress;
}

/** The least number that is more than half of `count`; 0 of none. */
export function majorityOf(count: number): number {
  return count === 0 ? 0 : Math.floor(count / 2) + 1;
}
