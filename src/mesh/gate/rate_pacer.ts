/**
 * Paces the requests to an instance that names a rate limit in its responses,
 * or that is cold. Without a limit a request passes at once. With one, requests pass one after
 * the other, the most urgent first, spaced so that any period stays within the
 * limit.
 *
 * Designed for instances that can take only a fraction of their usual load for
 * some seconds, while routers still see free slots there.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {TokenBucket} from '../limits/token_bucket.js';
import {FairQueue, type Place} from './fair_queue.js';
import {createFairTurns, type Task} from './fair_turns.js';

/**
 * The lowest rate, in requests per second. Only a response tells that the limit
 * is over, so even an instance that takes nothing gets a request now and then.
 */
const MIN_RATE_PER_S = 0.5;
/** Requests that may follow each other without a pause. */
const BURST = 1;
/** A waiting request notices a new limit, or its own end, within this time. */
const MAX_SLEEP_MS = 100;

/** A request that waits for its turn. */
export interface PacedRequest {
  readonly place: Place;
  readonly isAbandoned: () => boolean;
}

/** What applies beside a limit. */
export interface PacerOptions {
  /** Requests that may follow each other without a pause. */
  readonly burst: number;
  /** The least wait for a turn, in milliseconds, whatever the limit is. */
  readonly minWaitMs: () => number;
}

const DEFAULT_OPTIONS: PacerOptions = {burst: BURST, minWaitMs: () => 0};

/** The pacer of one instance. */
export class RatePacer {
  /** The requests that wait for a turn, without the one whose turn is next. */
  readonly order = new FairQueue<Task>();
  readonly #turns = createFairTurns(this.order);
  #limitPerS: number | undefined;
  #bucket: TokenBucket | undefined;
  #minWaitMs = DEFAULT_OPTIONS.minWaitMs;

  /** The limit in force, in requests per second; undefined without one. */
  get limitPerS(): number | undefined {
    return this.#limitPerS;
  }

  /** Number of requests, 0 or 1, that are next and wait for their token. */
  get dueTurns(): number {
    return this.#turns.pending;
  }

  /** Sets the limit; undefined removes it. */
  setLimit(limitPerS: number | undefined, options = DEFAULT_OPTIONS): void {
    this.#limitPerS = limitPerS;
    this.#minWaitMs = options.minWaitMs;
    if (limitPerS === undefined) {
      this.#bucket = undefined;
      return;
    }
    const nowMs = performance.now();
    const params = {
      tokensPerS: Math.max(MIN_RATE_PER_S, limitPerS),
      capacity: options.burst,
    };
    // The request whose response named the limit has just been taken.
    this.#bucket ??= new TokenBucket(params, 0, nowMs);
    this.#bucket.reconfigure(params, nowMs);
  }

  /** How long a request would wait for its turn behind `ahead` others. */
  expectedWaitMs(ahead: number): number {
    if (this.#limitPerS === undefined || !this.#bucket) return 0;
    const ratePerS = Math.max(MIN_RATE_PER_S, this.#limitPerS);
    const tokenWaitMs = this.#bucket.waitMs(performance.now());
    const firstWaitMs = Math.max(tokenWaitMs, this.#minWaitMs());
    return firstWaitMs + (ahead / ratePerS) * 1000;
  }

  /** Calls `pass` at the request's turn, unless it was abandoned before. */
  async takeTurn(request: PacedRequest, pass: () => unknown): Promise<void> {
    const {place, isAbandoned} = request;
    const isEmpty = this.#turns.size + this.#turns.pending === 0;
    if (!this.#bucket && isEmpty) return void pass();
    const wait = async () => {
      if (await this.#waitForToken(isAbandoned)) pass();
    };
    await this.#turns.add(wait, {place});
  }

  /** Returns the turn of a request that was not sent. */
  returnTurn(): void {
    this.#bucket?.charge(-1, performance.now());
  }

  async #waitForToken(isAbandoned: () => boolean): Promise<boolean> {
    while (!isAbandoned()) {
      const waitMs =
        this.#minWaitMs() || (this.#bucket?.take(performance.now()) ?? 0);
      if (waitMs === 0) return true;
      await sleep(Math.min(MAX_SLEEP_MS, waitMs));
    }
    return false;
  }
}
