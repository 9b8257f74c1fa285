/**
 * The record of idempotency keys at one holder. An entry is kept for the
 * retention time, counted from its claim. Entries are in memory only and lost
 * at a restart: until a process has been a holder for the retention time, it
 * may have missed earlier attempts, and says so in its answers (`forgetfulMs`).
 */
import {Failure} from '../errors/failure.js';
import type {ClaimAnswer, FirstRequestState, Settlement} from './messages.js';

const MAX_ENTRIES = 100_000;
const SWEEPS_PER_RETENTION = 10;

interface Entry {
  readonly attempt: string;
  readonly state: FirstRequestState;
  /** When it was claimed; monotonic clock, milliseconds. */
  readonly atMs: number;
}

/** The entries of one holder. */
export class Ledger {
  readonly #retentionMs: number;
  readonly #heldSinceMs: (name: string) => number;
  /** By key, in the order of the claims. */
  readonly #entries = new Map<string, Entry>();
  #sweepTimer: NodeJS.Timeout | undefined;

  /**
   * `heldSinceMs` returns since when this daemon has recorded every attempt
   * with a key; monotonic clock, milliseconds.
   */
  constructor(retentionMs: number, heldSinceMs: (name: string) => number) {
    this.#retentionMs = retentionMs;
    this.#heldSinceMs = heldSinceMs;
  }

  start(): void {
    const sweep = () => this.#sweep();
    this.#sweepTimer = setInterval(
      sweep,
      this.#retentionMs / SWEEPS_PER_RETENTION,
    );
  }

  stop(): void {
    clearInterval(this.#sweepTimer);
  }

  /** Records an attempt unless the key is known; throws `ledgerFull`. */
  claim(name: string, attempt: string): ClaimAnswer {
    const nowMs = performance.now();
    const known = this.#entries.get(name);
    if (known && nowMs - known.atMs < this.#retentionMs) {
      return {answer: 'seen', first: known.state};
    }
    if (this.#entries.size >= MAX_ENTRIES) {
      throw new Failure('ledgerFull', {entries: this.#entries.size});
    }
    this.#entries.delete(name);
    this.#entries.set(name, {attempt, state: 'running', atMs: nowMs});
    const heldMs = nowMs - this.#heldSinceMs(name);
    const forgetfulMs = Math.max(0, Math.ceil(this.#retentionMs - heldMs));
    return {answer: 'fresh', forgetfulMs};
  }

  /** True if the key is still claimed by this attempt. */
  holds(name: string, attempt: string): boolean {
    return this.#entries.get(name)?.attempt === attempt;
  }

  /** Records how an attempt ended; false if the attempt isn't known. */
  settle(name: string, attempt: string, settlement: Settlement): boolean {
    const entry = this.#entries.get(name);
    if (entry?.attempt !== attempt) return false;
    if (settlement === 'released') this.#entries.delete(name);
    else this.#entries.set(name, {...entry, state: settlement});
    return true;
  }

  #sweep(): void {
    const oldestMs = performance.now() - this.#retentionMs;
    [...this.#entries]
      .filter(([, entry]) => entry.atMs < oldestMs)
      .forEach(([name]) => this.#entries.delete(name));
  }
}
