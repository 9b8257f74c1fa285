/**
 * Whether this daemon's keys may be relied upon. A majority of the witnesses
 * vouches for about a second or two that no newer revision was accepted; a
 * daemon without such a vouch, or behind it for long, can't know of withdrawn
 * keys and must not let requests run by key.
 */
import type {Vouches} from '../member/generation.js';
import type {LocalConfiguration} from './local_configuration.js';
import {areKeysFresh} from './freshness_rule.js';

/** Options of {@link KeyFreshness}. */
export interface KeyFreshnessOptions {
  readonly vouches: Pick<Vouches, 'current'>;
  readonly configuration: LocalConfiguration;
  /** Called at an interval while this daemon is behind the vouch. */
  readonly onBehind: () => void;
  /** Called at an interval while it is ahead of it. */
  readonly onAhead: () => void;
}

const CHECK_INTERVAL_MS = 250;

/** Judges at every moment whether the keys are fresh. */
export class KeyFreshness {
  readonly #options: KeyFreshnessOptions;
  #timer: NodeJS.Timeout | undefined;
  /** Monotonic; undefined while this daemon isn't behind. */
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
   * Decides at the moment of the call, by the monotonic clock. Puts what is
   * vouched for in force first: look at the tables after it.
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
