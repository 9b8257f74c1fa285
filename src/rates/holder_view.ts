/**
 * What a borrower believes of one holder: its balance when it last answered,
 * grown by its rate since, and whether it answers at all.
 */
import type {DrawReply} from './messages.js';
import type {Holder} from './shares.js';

const SILENT_RETRY_MS = 250;

/** A borrower's view of one holder of one customer. */
export class HolderView {
  readonly holder: Holder;
  #balanceMicros: number;
  #atMs = performance.now();
  #askAgainAtMs = 0;
  #silent = false;
  #grants = true;

  constructor(holder: Holder) {
    this.holder = holder;
    this.#balanceMicros = holder.share.burstMicros;
  }

  /** True if it answers, and is sure that it is a holder. */
  get isHelpful(): boolean {
    return !this.#silent && this.#grants;
  }

  /** True if its last ask stayed without an answer. */
  get isSilent(): boolean {
    return this.#silent;
  }

  /** Micro-tokens that it probably has now. */
  expected(nowMs: number): number {
    if (nowMs < this.#askAgainAtMs) return 0;
    const {rateMicros, burstMicros} = this.holder.share;
    const gained = (rateMicros * (nowMs - this.#atMs)) / 1000;
    return Math.min(burstMicros, Math.floor(this.#balanceMicros + gained));
  }

  /** Notes an answer. */
  noteReply(reply: DrawReply): void {
    this.#silent = false;
    this.#grants = reply.grants;
    this.#balanceMicros = reply.balanceMicros;
    this.#atMs = performance.now();
    this.#askAgainAtMs = reply.grants ? 0 : this.#atMs + REFUSED_RETRY_MS;
  }

  /** Notes that no answer came in time. */
  noteSilence(): void {
    this.#silent = true;
    this.#askAgainAtMs = performance.now() + SILENT_RETRY_MS;
  }
}

const REFUSED_RETRY_MS = 100;
