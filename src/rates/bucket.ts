/**
 * A holder's token bucket for one customer. Its level and its outstanding
 * loans together never exceed the burst of the share, so that in every window
 * of time at most burst plus rate times the length of the window is spent. A
 * bucket starts empty.
 */
import {unusedBurstMicros} from './escrow_rules.js';
import type {Share} from './micro_tokens.js';

/** A token bucket that lends. */
export class Bucket {
  /** The bucket gains nothing before this; monotonic clock, milliseconds. */
  readonly refillsFromMs: number;
  #share: Share;
  #levelMicros = 0;
  #outstandingMicros = 0;
  #refilledAtMs: number;

  constructor(share: Share, gainsFromMs: number) {
    this.#share = share;
    this.refillsFromMs = gainsFromMs;
    this.#refilledAtMs = gainsFromMs;
  }

  get share(): Share {
    return this.#share;
  }

  /** Changes the share; tokens over the new burst are dropped. */
  setShare(share: Share, nowMs: number): void {
    this.#refill(nowMs);
    this.#share = share;
    const room = share.burstMicros - this.#outstandingMicros;
    this.#levelMicros = Math.max(0, Math.min(this.#levelMicros, room));
  }

  /** Whole micro-tokens that can be taken now. */
  availableMicros(nowMs: number): number {
    this.#refill(nowMs);
    return Math.floor(this.#levelMicros);
  }

  /** Takes up to `wanted` micro-tokens, which become outstanding. */
  take(wanted: number, nowMs: number): number {
    const taken = Math.min(wanted, this.availableMicros(nowMs));
    this.#levelMicros -= taken;
    this.#outstandingMicros += taken;
    return taken;
  }

  /** Removes outstanding micro-tokens that were spent or have lapsed. */
  settle(micros: number, nowMs: number): void {
    this.#refill(nowMs);
    this.#outstandingMicros -= micros;
  }

  /** Returns unspent outstanding micro-tokens to the bucket. */
  refund(micros: number, nowMs: number): void {
    this.settle(micros, nowMs);
    this.#levelMicros += Math.min(micros, this.#refillRoom());
  }

  #refill(nowMs: number): void {
    if (nowMs <= this.#refilledAtMs) return;
    const gained =
      (this.#share.rateMicros * (nowMs - this.#refilledAtMs)) / 1000;
    this.#levelMicros += Math.min(gained, this.#refillRoom());
    this.#refilledAtMs = nowMs;
  }

  #refillRoom(): number {
    return unusedBurstMicros(
      this.#share,
      this.#levelMicros,
      this.#outstandingMicros,
    );
  }
}
