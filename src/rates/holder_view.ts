/**
 * What a borrower believes of one holder: its balance when it last answered,
 * grown by its rate since, and whether it answers at all.
 */
import type {DrawReply} from './messages.js';
import type {Holder} from './shares.js';

const UNRESPONSIVE_RETRY_MS = 250;

/** A borrower's view of one holder of one customer. */
export class HolderView {
  readonly holder: Holder;
  #balanceMicros: number;
  #balanceAtMs = performance.now();
  #nextDrawAtMs = 0;
  #unresponsive = false;
  #grants = true;

  constructor(holder: Holder) {
    this.holder = holder;
    this.#balanceMicros = holder.share.burstMicros;
  }

  /** True if it answers, and is sure that it is a holder. */
  get isGranting(): boolean {
    return !this.#unresponsive && this.#grants;
  }

  /** True if its last ask stayed without an answer. */
  get isUnresponsive(): boolean {
    return this.#unresponsive;
  }

  /** Micro-tokens that it probably has now. */
  expectedMicros(nowMs: number): number {
    if (nowMs < this.#nextDrawAtMs) return 0;
    const {rateMicros, burstMicros} = this.holder.share;
    const gained = (rateMicros * (nowMs - this.#balanceAtMs)) / 1000;
    return Math.min(burstMicros, Math.floor(this.#balanceMicros + gained));
  }

  /** Notes an answer. */
  recordReply(reply: DrawReply): void {
    this.#unresponsive = false;
    this.#grants = reply.grants;
    this.#balanceMicros = reply.balanceMicros;
    this.#balanceAtMs = performance.now();
    this.#nextDrawAtMs = reply.grants
      ? 0
      : this.#balanceAtMs + REFUSED_RETRY_MS;
  }

  /** Notes that no answer came in time. */
  recordTimeout(): void {
    this.#unresponsive = true;
    this.#nextDrawAtMs = performance.now() + UNRESPONSIVE_RETRY_MS;
  }
}

const REFUSED_RETRY_MS = 100;
