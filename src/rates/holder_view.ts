/**
 * A borrower's estimate of one holder: the balance in the last reply plus the
 * rate since then, and whether the holder replies at all.
 */
import type {DrawReply} from './messages.js';
import type {Holder} from './shares.js';

const UNRESPONSIVE_RETRY_MS = 250;

/** A borrower's view of one holder of a customer's rate. */
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

  /** True if the holder replies and is sure that it is a holder. */
  get isGranting(): boolean {
    return !this.#unresponsive && this.#grants;
  }

  /** True if the last draw timed out or failed. */
  get isUnresponsive(): boolean {
    return this.#unresponsive;
  }

  /** Estimated balance of the holder, in micro-tokens. */
  expectedMicros(nowMs: number): number {
    if (nowMs < this.#nextDrawAtMs) return 0;
    const {rateMicros, burstMicros} = this.holder.share;
    const gained = (rateMicros * (nowMs - this.#balanceAtMs)) / 1000;
    return Math.min(burstMicros, Math.floor(this.#balanceMicros + gained));
  }

  recordReply(reply: DrawReply): void {
    this.#unresponsive = false;
    this.#grants = reply.grants;
    this.#balanceMicros = reply.balanceMicros;
    this.#balanceAtMs = performance.now();
    this.#nextDrawAtMs = reply.grants
      ? 0
      : this.#balanceAtMs + REFUSED_RETRY_MS;
  }

  /** Records that a draw failed or had no reply in time. */
  recordTimeout(): void {
    this.#unresponsive = true;
    this.#nextDrawAtMs = performance.now() + UNRESPONSIVE_RETRY_MS;
  }
}

const REFUSED_RETRY_MS = 100;
