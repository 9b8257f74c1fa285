/**
 * Limits that hold over the whole fleet: customers' rates, and how many
 * requests of a service may be sent to a further instance. Each limit has one
 * owner among the daemons that see each other, ranked by rendezvous hashing;
 * the others ask it for each token. A daemon that can't reach the owner falls
 * back to its own part of the limit.
 *
 * An owner that is new starts with an empty bucket, and withholds the parts
 * of daemons that it can't see, since these may be spending them. So the sum
 * stays within rate and burst while owners change or a network is cut.
 */
import {rankMembers} from '../../member/rendezvous.js';
import {TokenBucket, type BucketSize} from './token_bucket.js';

/** A limit as it is in force now. */
export interface Limit extends BucketSize {
  /** Unique among all limits. */
  readonly name: string;
  /** Tokens that each unit of demand adds, for limits that follow demand. */
  readonly perDemand: number;
}

/** Asks the owner of a limit for one token. */
export interface ShareRequest {
  readonly limit: string;
  /** Demand since the asker's last request for this limit. */
  readonly demand: number;
  /** The token is gone already, and is taken even if none is there. */
  readonly isSpent: boolean;
}

/** What the owner, or the own part of the limit, answers. */
export interface ShareAnswer {
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

/** An answer and who gave it. */
export interface ShareVerdict extends ShareAnswer {
  /** The daemon that answered as the owner; undefined: the own part. */
  readonly owner: string | undefined;
}

/** The daemons that share limits, as this one sees them. */
export interface LimitPeers {
  readonly selfId: string;
  /** Ids of the daemons that can be asked now. */
  reachable(): readonly string[];
  /** How many daemons there are, with this one and those out of reach. */
  knownCount(): number;
  /** Undefined if no answer came. */
  ask(vm: string, ask: ShareRequest): Promise<ShareAnswer | undefined>;
}

/** What the limits are made from. */
export interface SharedLimitsOptions {
  readonly peers: LimitPeers;
  /** The limit of a name by the configuration; undefined: there is none. */
  readonly limitOf: (name: string) => Limit | undefined;
  /** Whether the fleet starts for the first time, with nothing spent. */
  readonly isFirstStart: boolean;
  /** The monotonic clock; tests play with their own. */
  readonly now?: () => number;
}

/** Below this share of all daemons a side of a cut has no owners. */
const QUORUM_SHARE = 0.5;
/** How long after the first start an owner's bucket may start full. */
const FIRST_START_MS = 20_000;
/** Tokens that a limit has at a daemon's start that isn't the first. */
const RESTART_TOKENS = 1;

/** The shared limits as one daemon uses them. */
export class SharedLimits {
  readonly #options: SharedLimitsOptions;
  /** Buckets that this daemon owns. */
  readonly #owned = new Map<string, TokenBucket>();
  /** Its own parts, for when no owner can be reached. */
  readonly #parts = new Map<string, TokenBucket>();
  readonly #demand = new Map<string, number>();
  /** Owners while the daemons that are seen stay the same. */
  readonly #owners = new Map<string, string>();
  #members = '';
  readonly #now: () => number;
  readonly #startedAtMs: number;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#startedAtMs = this.#now();
  }

  /** Counts demand on a limit that follows demand. */
  demand(name: string): void {
    this.#demand.set(name, (this.#demand.get(name) ?? 0) + 1);
  }

  /** Takes one token of a limit; a name without a limit always grants. */
  take(name: string): Promise<ShareVerdict> {
    return this.#ask(name, false);
  }

  /** Notes that a token was used without asking for it. */
  spend(name: string): void {
    void this.#ask(name, true);
  }

  async #ask(name: string, isSpent: boolean): Promise<ShareVerdict> {
    const limit = this.#options.limitOf(name);
    if (!limit) return {isGranted: true, retryAfterMs: 0, owner: undefined};
    const owner = this.ownerOf(name);
    const demand = this.#demand.get(name) ?? 0;
    this.#demand.set(name, 0);
    const ask = {limit: name, demand, isSpent};
    const {peers} = this.#options;
    if (owner === peers.selfId) return {...this.grant(ask), owner};
    const answer = owner ? await peers.ask(owner, ask) : undefined;
    if (answer) return {...answer, owner};
    return {...this.#takePart(limit), owner: undefined};
  }

  /** Answers for a limit that this daemon owns, as asked by another. */
  grant(ask: ShareRequest): ShareAnswer {
    const limit = this.#options.limitOf(ask.limit);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const nowMs = this.#now();
    const bucket = this.#ownedBucket(limit, nowMs);
    bucket.add(ask.demand * limit.perDemand, nowMs);
    return answerOf(ask.isSpent ? bucket.owe(nowMs) : bucket.take(nowMs));
  }

  #ownedBucket(limit: Limit, nowMs: number): TokenBucket {
    const {peers} = this.#options;
    const seen = peers.reachable().length + 1;
    const share = Math.min(1, seen / Math.max(1, peers.knownCount()));
    const size = {perS: limit.perS * share, capacity: limit.capacity};
    const known = this.#owned.get(limit.name);
    if (known) {
      known.resize(size, nowMs);
      return known;
    }
    const bucket = new TokenBucket(size, this.#firstLevel(limit), nowMs);
    this.#owned.set(limit.name, bucket);
    return bucket;
  }

  #takePart(limit: Limit): ShareAnswer {
    const nowMs = this.#now();
    const count = Math.max(1, this.#options.peers.knownCount());
    const size = {perS: limit.perS / count, capacity: 1};
    const known = this.#parts.get(limit.name);
    const bucket = known ?? new TokenBucket(size, 1, nowMs);
    bucket.resize(size, nowMs);
    this.#parts.set(limit.name, bucket);
    return answerOf(bucket.take(nowMs));
  }

  /** Nothing was spent before the first start, and nobody knows after it. */
  #firstLevel(limit: Limit): number {
    const isNew = this.#now() - this.#startedAtMs < FIRST_START_MS;
    const isFresh = this.#options.isFirstStart && isNew;
    return isFresh ? limit.capacity : RESTART_TOKENS;
  }

  /** The daemon that owns a limit; undefined on the smaller side of a cut. */
  ownerOf(name: string): string | undefined {
    const {peers} = this.#options;
    const ids = [peers.selfId, ...peers.reachable()];
    if (ids.length < QUORUM_SHARE * peers.knownCount()) return undefined;
    const members = ids.join(' ');
    if (members !== this.#members) this.#owners.clear();
    this.#members = members;
    const known = this.#owners.get(name);
    if (known !== undefined) return known;
    const ranked = rankMembers(
      name,
      ids.map(id => ({id})),
    );
    const owner = ranked[0]?.id ?? peers.selfId;
    this.#owners.set(name, owner);
    return owner;
  }
}

function answerOf(waitMs: number): ShareAnswer {
  return {isGranted: waitMs === 0, retryAfterMs: waitMs};
}
