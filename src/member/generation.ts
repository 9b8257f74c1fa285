/**
 * A generation is a numbered list of the fleet's members, among which rates and
 * other duties are divided. It is kept in the store and changed only by
 * compare-and-swap, so that all daemons agree on it. Which members are alive at
 * a given moment is determined by gossip instead.
 */
import {z} from 'zod';

const memberSchema = z.strictObject({
  id: z.string(),
  failureDomain: z.string(),
  region: z.string(),
  peersAddress: z.string(),
});

/** The schema of a generation in the store. */
export const generationSchema = z.strictObject({
  /** Increases by one with each generation. */
  number: z.int().min(1),
  members: z.array(memberSchema),
  /** Ids of the members that vouch; at most a few per failure domain. */
  witnesses: z.array(z.string()),
  /** Witnesses of the previous generation; empty for the first generation. */
  previousWitnesses: z.array(memberSchema),
});

/** A member of a generation. */
export type GenerationMember = Readonly<z.infer<typeof memberSchema>>;

/** One generation of the fleet. */
export interface Generation {
  readonly number: number;
  readonly members: readonly GenerationMember[];
  readonly witnesses: readonly string[];
  readonly previousWitnesses: readonly GenerationMember[];
}

/** The newest generation that this daemon knows. */
export interface Generations {
  current(): Generation | undefined;
  /** The generation numbered one below it, if this process knew it. */
  previous(): Generation | undefined;
  /**
   * When daemons may take up the duties that the current generation assigned
   * to them: from then on no daemon has a valid vouch for the previous
   * generation. Monotonic clock, milliseconds; `undefined` while unknown.
   */
  movedDutiesFromMs(): number | undefined;
  /** True once no daemon uses duties or loans of the previous generation. */
  isInForce(): boolean;
}

/**
 * Confirmation by a majority of the witnesses that there is no newer generation
 * and no accepted configuration above `revision`.
 */
export interface Vouch {
  readonly generation: number;
  readonly revision: number;
  /** When it expires; monotonic clock of this daemon, milliseconds. */
  readonly validUntilMs: number;
}

/** The vouches that this daemon has collected. */
export interface Vouches {
  /** The current vouch; `undefined` if none is valid. */
  current(): Vouch | undefined;
  /**
   * Sends a newer generation or revision to the witnesses. Resolves to true
   * once a majority has recorded it; that majority then no longer vouches for
   * anything older.
   */
  raise(newer: {
    readonly generation?: number;
    readonly revision?: number;
  }): Promise<boolean>;
}

/** Validity of a vouch; the requesting daemon counts it from its request. */
export const VOUCH_LIFETIME_MS = 4000;

/** How long others wait for a vouch to expire; allows for clock drift. */
export const VOUCH_LAPSE_MS = 4500;

/** Further wait until loans of the previous generation have expired. */
export const LOAN_LAPSE_MS = 2500;

/** Returns the witnesses of a generation with their addresses. */
export function witnessesOf(
  generation: Generation,
): readonly GenerationMember[] {
  const ids = new Set(generation.witnesses);
  return generation.members.filter(member => ids.has(member.id));
}

/** Identifies a daemon: the same id at another address is another daemon. */
export type DaemonIdentity = Pick<GenerationMember, 'id' | 'peersAddress'>;

/** True if both are the same daemon, even if it has restarted in between. */
export function isSameDaemon(a: DaemonIdentity, b: DaemonIdentity): boolean {
  return a.id === b.id && a.peersAddress === b.peersAddress;
}

/** The smallest number that is more than half of `count`; 0 if `count` is 0. */
export function majorityOf(count: number): number {
  return count === 0 ? 0 : Math.floor(count / 2) + 1;
}
