/**
 * Decides whether this daemon's API keys are fresh enough to authenticate
 * requests. A majority of the witnesses vouches, for about one or two seconds
 * at a time, that no newer revision was accepted. A daemon that has no valid
 * vouch, or has been behind the vouched revision for too long, may not know of
 * withdrawn keys and must not run requests by key.
 */
import type {Vouches} from '../member/generation.js';
import {areKeysFresh} from './freshness_rule.js';
import type {LocalConfiguration} from './local_configuration.js';

/** Options of {@link KeyFreshness}. */
export interface KeyFreshnessOptions {
  readonly vouches: Pick<Vouches, 'current'>;
  readonly configuration: LocalConfiguration;
  /** Called periodically while this daemon is behind the vouched revision. */
  readonly onBehind: () => void;
  /** Called periodically while this daemon is ahead of it. */
  readonly onAhead: () => void;
}

const CHECK_INTERVAL_MS = 250;

/** Tracks how long this daemon has been behind the vouched revision. */
export class KeyFreshness {
  readonly #options: KeyFreshnessOptions;
  #timer: NodeJS.Timeout | undefined;
  /** Monotonic time; undefined while this daemon isn't behind. */
  #behindSinceMs: number | undefined;

  constructor(options: KeyFreshnessOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * Whether the keys are fresh at the time of the call, by the monotonic
   * clock. It first brings the vouched revision into force, so callers must
   * read the tables after this call.
   */
  isFresh(): boolean {
    const {vouches, configuration} = this.#options;
    const nowMs = performance.now();
    const vouched = vouches.current()?.revision;
    if (vouched !== undefined) configuration.confirm(vouched);
    const inForce = configuration.tables().revision;
    const isBehind = vouched !== undefined && vouched > inForce;
    this.#behindSinceMs = isBehind ? (this.#behindSinceMs ?? nowMs) : undefined;
    const behindForMs = nowMs - (this.#behindSinceMs ?? nowMs);
    return areKeysFresh(vouched !== undefined, behindForMs);
  }

  #check(): void {
    const {vouches, configuration, onBehind, onAhead} = this.#options;
    this.isFresh();
    const vouched = vouches.current()?.revision;
    if (this.#behindSinceMs !== undefined) onBehind();
    if (vouched !== undefined && vouched < configuration.revision()) onAhead();
  }
}
