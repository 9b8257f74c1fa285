/**
 * Enforces the customers' rates over the whole fleet. Each rate has one owner
 * among the daemons that reach each other; the others request each token from
 * it. An owner grants what the daemons have paid to it (see {@link RateParts}).
 * A daemon that gets no answer uses its own part of the rate instead, and
 * reports the tokens that it used to the owner later.
 */
import {RateParts, type PartPeers} from './rate_parts.js';
import {TokenBucket, type BucketParams} from './token_bucket.js';

/** A limit of the configuration in force. */
export interface Limit extends BucketParams {
  /** Unique among all limits. */
  readonly name: string;
}

/** Requests one token from the owner of a limit. */
export interface TokenRequest {
  readonly limit: string;
  /** Tokens used from the daemon's own part since the last answer. */
  readonly spent: number;
}

/** The answer of the owner, or of the daemon's own part of the limit. */
export interface TokenAnswer {
  readonly isGranted: boolean;
  readonly retryAfterMs: number;
}

/** The daemons that share limits, from this daemon's point of view. */
export interface LimitPeers extends PartPeers {
  /** Requests a token; undefined if there is no answer. */
  ask(vm: string, ask: TokenRequest): Promise<TokenAnswer | undefined>;
}

/** Options of {@link SharedLimits}. */
export interface SharedLimitsOptions {
  readonly peers: LimitPeers;
  /** The configured limit of that name, if there is one. */
  readonly limitOf: (name: string) => Limit | undefined;
  /** Whether the fleet starts for the first time: no tokens are used yet. */
  readonly isFirstStart: boolean;
  /** Monotonic clock in milliseconds; tests use a virtual one. */
  readonly now?: () => number;
}

/** For this time after the fleet's first start, new buckets start full. */
const FIRST_START_PERIOD_MS = 20_000;
/** Initial tokens of a limit if the fleet has been running before. */
const RESTART_TOKENS = 1;

/** One daemon's view of the shared limits. */
export class SharedLimits {
  readonly parts: RateParts;
  readonly #options: SharedLimitsOptions;
  /** Buckets that this daemon owns, on the clock of {@link RateParts}. */
  readonly #ownedBuckets = new Map<string, TokenBucket>();
  /** Buckets of this daemon's own parts, used while no owner answers. */
  readonly #fallbackBuckets = new Map<string, TokenBucket>();
  /** Tokens used from own parts that were not reported to an owner yet. */
  readonly #unreported = new Map<string, number>();
  readonly #now: () => number;
  readonly #startedAtMs: number;

  constructor(options: SharedLimitsOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
    this.#startedAtMs = this.#now();
    const {peers, isFirstStart} = options;
    this.parts = new RateParts({peers, isFirstStart, now: this.#now});
  }

  /** Takes one token of a limit; grants always if there is no such limit. */
  async take(name: string): Promise<TokenAnswer> {
    const limit = this.#options.limitOf(name);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const {peers} = this.#options;
    const owner = this.parts.ownerOf(name);
    const spent = this.#unreported.get(name) ?? 0;
    const ask = {limit: name, spent};
    this.#unreported.delete(name);
    if (owner === peers.selfId) return this.grant(ask);
    const answer = await peers.ask(owner, ask);
    if (answer) return answer;
    this.#addUnreported(name, spent);
    return this.#takeFromFallback(limit);
  }

  /** Answers a token request for a limit that this daemon owns. */
  grant({limit: name, spent}: TokenRequest): TokenAnswer {
    const limit = this.#options.limitOf(name);
    if (!limit) return {isGranted: true, retryAfterMs: 0};
    const clockMs = this.parts.clockMs(name);
    const bucket = this.#ownedBucket(limit, clockMs);
    if (spent > 0) bucket.charge(spent, clockMs);
    return toAnswer(bucket.take(clockMs));
  }

  #ownedBucket(limit: Limit, clockMs: number): TokenBucket {
    const share = this.parts.recentShareOf(limit.name);
    const capacity = Math.max(RESTART_TOKENS, limit.capacity * share);
    const params = {tokensPerS: limit.tokensPerS, capacity};
    const known = this.#ownedBuckets.get(limit.name);
    if (known) {
      known.reconfigure(params, clockMs);
      return known;
    }
    const bucket = new TokenBucket(params, this.#initialLevel(limit), clockMs);
    this.#ownedBuckets.set(limit.name, bucket);
    return bucket;
  }

  #takeFromFallback(limit: Limit): TokenAnswer {
    const nowMs = this.#now();
    const params = {
      tokensPerS: limit.tokensPerS * this.parts.ownPart,
      capacity: 1,
    };
    const known = this.#fallbackBuckets.get(limit.name);
    const bucket = known ?? new TokenBucket(params, 1, nowMs);
    bucket.reconfigure(params, nowMs);
    this.#fallbackBuckets.set(limit.name, bucket);
    const answer = toAnswer(bucket.take(nowMs));
    if (answer.isGranted) this.#addUnreported(limit.name, 1);
    return answer;
  }

  #addUnreported(name: string, tokens: number): void {
    this.#unreported.set(name, (this.#unreported.get(name) ?? 0) + tokens);
  }

  /** Nothing was used before the first start; after a restart it is unknown. */
  #initialLevel(limit: Limit): number {
    const isInStartPeriod =
      this.#now() - this.#startedAtMs < FIRST_START_PERIOD_MS;
    const startsFull = this.#options.isFirstStart && isInStartPeriod;
    return startsFull ? limit.capacity : RESTART_TOKENS;
  }
}

function toAnswer(waitMs: number): TokenAnswer {
  return {isGranted: waitMs === 0, retryAfterMs: waitMs};
}
