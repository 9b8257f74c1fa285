/**
 * A holder's bucket of one customer. Its level and what it lent out together
 * never exceed the burst of the share, so that in every window of time at
 * most burst plus rate times the length is spent. It starts empty.
 */
import {roomFor} from './escrow_rules.js';
import type {Share} from './micro_tokens.js';

/** A token bucket that lends. */
export class Bucket {
  /** Nothing is gained before; monotonic clock, milliseconds. */
  readonly gainsFromMs: number;
  #share: Share;
  #level = 0;
  #outstanding = 0;
  #atMs: number;

  constructor(share: Share, gainsFromMs: number) {
    this.#share = share;
    this.gainsFromMs = gainsFromMs;
    this.#atMs = gainsFromMs;
  }

  get share(): Share {
    return this.#share;
  }

  /** Changes the share; what is over the new burst is lost. */
  reshape(share: Share, nowMs: number): void {
    this.#gain(nowMs);
    this.#share = share;
    const room = share.burstMicros - this.#outstanding;
    this.#level = Math.max(0, Math.min(this.#level, room));
  }

  /** Whole micro-tokens that could be taken now. */
  available(nowMs: number): number {
    this.#gain(nowMs);
    return Math.floor(this.#level);
  }

  /** Takes up to `wanted` micro-tokens out; they are outstanding then. */
  take(wanted: number, nowMs: number): number {
    const taken = Math.min(wanted, this.available(nowMs));
    this.#level -= taken;
    this.#outstanding += taken;
    return taken;
  }

  /** Notes that outstanding micro-tokens were spent or are void. */
  settle(micros: number, nowMs: number): void {
    this.#gain(nowMs);
    this.#outstanding -= micros;
  }

  /** Puts outstanding micro-tokens back that were not spent. */
  putBack(micros: number, nowMs: number): void {
    this.settle(micros, nowMs);
    this.#level += Math.min(micros, this.#room());
  }

  #gain(nowMs: number): void {
    if (nowMs <= this.#atMs) return;
    const gained = (this.#share.rateMicros * (nowMs - this.#atMs)) / 1000;
    this.#level += Math.min(gained, this.#room());
    this.#atMs = nowMs;
  }

  #room(): number {
    return roomFor(this.#share, this.#level, this.#outstanding);
  }
}
