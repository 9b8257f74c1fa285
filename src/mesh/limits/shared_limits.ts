/**
 * Customers' rates, which hold over the whole fleet. Each rate has one owner
 * among the daemons that see each other; the others ask it for each token. An
 * owner gives out what daemons made over to it ({@link RateParts}). A daemon
 * that gets no answer uses its own part meanwhile, and tells the owner later.
 */
import {RateParts, type PartPeers} from './rate_parts.js';
import {TokenBucket, type BucketSize} from './token_bucket.js';

/** A limit as it is in force now. */
export interface Limit extends BucketSize {
  /** Unique among all limits. */
  readonly name: string;
}

/** Asks the owner of a limit for one token. */
export interface ShareRequest {
  readonly limit: string;
  /** Tokens that were used since the last answer without asking. */
  readonly spent: number;
}

/** What the owner, or the own part of the limit, answers. */
export interface ShareAnswer {
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

/** The daemons that share limits, as this one sees them. */
export interface LimitPeers extends PartPeers {
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

/** How long after the first start an owner's bucket may start full. */
const FIRST_START_MS = 20_000;
/** Tokens that a limit has at a daemon's start that isn't the first. */
const RESTART_TOKENS = 1;

/** The shared limits as one daemon uses them. */
export class SharedLimits {
  readonly parts: RateParts;
  readonly #options: SharedLimitsOptions;
  /** Buckets that this daemon owns, on the clock of what was made over. */
  readonly #owned = new Map<string, TokenBucket>();
  /** Its own parts, for when no owner answers. */
  readonly #own = new Map<string, TokenBucket>();
  /** Tokens of its own parts that no owner knows of yet. */
  readonly #spent = new Map<string, number>();
  readonly #now: () => number;
  readonly #startedAtMs: number;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#startedAtMs = this.#now();
    const {peers, isFirstStart} = options;
    this.parts = new RateParts({peers, isFirstStart, now: this.#now});
  }

  /** Takes one token of a limit; a name without a limit always grants. */
  async take(name: string): Promise<ShareAnswer> {
    const limit = this.#options.limitOf(name);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const {peers} = this.#options;
    const owner = this.parts.ownerOf(name);
    const spent = this.#spent.get(name) ?? 0;
    const ask = {limit: name, spent};
    this.#spent.delete(name);
    if (owner === peers.selfId) return this.grant(ask);
    const answer = await peers.ask(owner, ask);
    if (answer) return answer;
    this.#spend(name, spent);
    return this.#takeOwn(limit);
  }

  /** Answers for a limit that this daemon owns, as asked by another. */
  grant({limit: name, spent}: ShareRequest): ShareAnswer {
    const limit = this.#options.limitOf(name);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const clockMs = this.parts.clockMs(name);
    const bucket = this.#ownedBucket(limit, clockMs);
    if (spent > 0) bucket.owe(spent, clockMs);
    return answerOf(bucket.take(clockMs));
  }

  #ownedBucket(limit: Limit, clockMs: number): TokenBucket {
    const share = this.parts.shareOf(limit.name);
    const capacity = Math.max(RESTART_TOKENS, limit.capacity * share);
    const size = {perS: limit.perS, capacity};
    const known = this.#owned.get(limit.name);
    if (known) {
      known.resize(size, clockMs);
      return known;
    }
    const bucket = new TokenBucket(size, this.#firstLevel(limit), clockMs);
    this.#owned.set(limit.name, bucket);
    return bucket;
  }

  #takeOwn(limit: Limit): ShareAnswer {
    const nowMs = this.#now();
    const size = {perS: limit.perS * this.parts.ownPart, capacity: 1};
    const known = this.#own.get(limit.name);
    const bucket = known ?? new TokenBucket(size, 1, nowMs);
    bucket.resize(size, nowMs);
    this.#own.set(limit.name, bucket);
    const answer = answerOf(bucket.take(nowMs));
    if (answer.isGranted) this.#spend(limit.name, 1);
    return answer;
  }

  #spend(name: string, tokens: number): void {
    this.#spent.set(name, (this.#spent.get(name) ?? 0) + tokens);
  }

  /** Nothing was spent before the first start, and nobody knows after it. */
  #firstLevel(limit: Limit): number {
    const isNew = this.#now() - this.#startedAtMs < FIRST_START_MS;
    const isFresh = this.#options.isFirstStart && isNew;
    return isFresh ? limit.capacity : RESTART_TOKENS;
  }
}

function answerOf(waitMs: number): ShareAnswer {
  return {isGranted: waitMs === 0, retryAfterMs: waitMs};
}
