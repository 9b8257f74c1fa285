/**
 * Customers' rates, which hold over the whole fleet. Each limit has one owner
 * among the daemons that see each other, ranked by rendezvous hashing; the
 * others ask it for each token. A daemon that can't reach the owner falls back
 * to its own part of the limit.
 *
 * An owner that is new starts with an empty bucket, and withholds the parts
 * of daemons that it can't see, since these may be spending them. So the sum
 * stays within rate and burst while owners change or a network is cut.
 */
import {Owners, type OwnerCandidates} from './owners.js';
import {TokenBucket, type BucketSize} from './token_bucket.js';

/** A limit as it is in force now. */
export interface Limit extends BucketSize {
  /** Unique among all limits. */
  readonly name: string;
}

/** Asks the owner of a limit for one token. */
export interface ShareRequest {
  readonly limit: string;
}

/** What the owner, or the own part of the limit, answers. */
export interface ShareAnswer {
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

/** The daemons that share limits, as this one sees them. */
export interface LimitPeers extends OwnerCandidates {
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
  readonly #owners: Owners;
  readonly #now: () => number;
  readonly #startedAtMs: number;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
    this.#owners = new Owners(options.peers);
    this.#now = options.now ?? (() => performance.now());
    this.#startedAtMs = this.#now();
  }

  /** Takes one token of a limit; a name without a limit always grants. */
  async take(name: string): Promise<ShareAnswer> {
    const limit = this.#options.limitOf(name);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const owner = this.ownerOf(name);
    const ask = {limit: name};
    const {peers} = this.#options;
    if (owner === peers.selfId) return this.grant(ask);
    const answer = owner ? await peers.ask(owner, ask) : undefined;
    return answer ?? this.#takePart(limit);
  }

  /** Answers for a limit that this daemon owns, as asked by another. */
  grant(ask: ShareRequest): ShareAnswer {
    const limit = this.#options.limitOf(ask.limit);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const nowMs = this.#now();
    const bucket = this.#ownedBucket(limit, nowMs);
    return answerOf(bucket.take(nowMs));
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
    const seen = peers.reachable().length + 1;
    if (seen < QUORUM_SHARE * peers.knownCount()) return undefined;
    return this.#owners.ownerOf(name);
  }
}

function answerOf(waitMs: number): ShareAnswer {
  return {isGranted: waitMs === 0, retryAfterMs: waitMs};
}
