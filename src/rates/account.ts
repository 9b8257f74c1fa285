/**
 * The borrower's side of the escrow for one customer: takes tokens from the
 * pocket, and refills the pocket from the holders, the nearest first. One
 * refill runs at a time; requests that come meanwhile wait for it together.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Generation} from '../member/generation.js';
import {HolderView} from './holder_view.js';
import type {Admission} from './limiter.js';
import type {DrawReply, DrawRequest} from './messages.js';
import {MICROS_PER_TOKEN} from './micro_tokens.js';
import type {Pocket} from './pocket.js';
import {
  holdersOf,
  largestLoan,
  type CustomerRate,
  type Holder,
} from './shares.js';

/** How an account reaches holders. */
export interface AccountOptions {
  readonly customer: CustomerRate;
  readonly generation: Generation;
  /** What was borrowed already, under whatever terms. */
  readonly pocket: Pocket;
  /** Asks a holder; throws `peerUnreachable`. */
  readonly draw: (holder: Holder, ask: DrawRequest) => Promise<DrawReply>;
  /** Steps from this daemon: 0 itself, 1 its failure domain, 2 others. */
  readonly distance: (holder: Holder) => number;
  readonly nextLoan: () => string;
}

interface Refusal {
  readonly reason: 'over-rate' | 'rate-unknown';
  /** Nobody is asked before; monotonic clock, milliseconds. */
  readonly untilMs: number;
  readonly dueAtMs: number;
}

/** What is asked of one holder. */
interface Ask {
  readonly view: HolderView;
  readonly wantedMicros: number;
}

const DEMAND_AHEAD_S = 0.25;
const DEMAND_DECAY_MS = 1000;
const MAX_ROUNDS = 6;
const PATIENCE_MS = 80;
const MAX_TRIES = 5;
/** After this no further refill is waited for. */
const MAX_WAIT_MS = 100;
/** A holder that is only late is waited for so long; its answer is due then. */
const LATE_WAIT_MS = 500;
/** Amounts below this aren't worth a message. */
const LEAST_ASK_MICROS = 10_000;
const LEAST_REFUSAL_MS = 25;
const MAX_REFUSAL_MS = 1000;
const UNKNOWN_REFUSAL_MS = 250;
const DUE_MARGIN = 1.05;

/** One customer at one borrower. */
export class Account {
  readonly pocket: Pocket;
  readonly #options: AccountOptions;
  readonly #views: readonly HolderView[];
  #refusal: Refusal | undefined;
  #refilling: Promise<void> | undefined;
  /** Asks that went unanswered for the usual time and may still be. */
  readonly #late = new Set<Promise<void>>();
  #waiting = 0;
  #demand = 0;
  #demandAtMs = performance.now();

  constructor(options: AccountOptions) {
    this.#options = options;
    this.pocket = options.pocket;
    const {customer, generation, distance} = options;
    this.#views = holdersOf(customer, generation)
      .toSorted((a, b) => distance(a) - distance(b))
      .map(holder => new HolderView(holder));
  }

  /** True if it was made for these terms. */
  fits(customer: CustomerRate, generation: Generation): boolean {
    const {customer: last} = this.#options;
    return (
      this.#options.generation === generation &&
      last.ratePerSecond === customer.ratePerSecond &&
      last.burst === customer.burst
    );
  }

  /** How long ago the last request came, in milliseconds. */
  idleMs(nowMs: number): number {
    return nowMs - this.#demandAtMs;
  }

  /** A token, or why there is none; waits for one refill or two. */
  async admit(): Promise<Admission> {
    this.#noteDemand();
    const startMs = performance.now();
    for (let tries = 0; tries < MAX_TRIES; tries += 1) {
      const nowMs = performance.now();
      const token = this.pocket.take(nowMs);
      if (token) return {admitted: true, token};
      if (this.#refusal && nowMs < this.#refusal.untilMs) break;
      if (nowMs - startMs > MAX_WAIT_MS) break;
      this.#waiting += 1;
      this.#refilling ??= this.#refill().finally(() => {
        this.#refilling = undefined;
      });
      await this.#refilling;
      this.#waiting -= 1;
    }
    const token = this.pocket.take(performance.now());
    return token ? {admitted: true, token} : this.#refuse();
  }

  #refuse(): Admission {
    const nowMs = performance.now();
    const refusal = this.#refusal;
    const {reason, dueAtMs} =
      refusal && nowMs < refusal.untilMs
        ? refusal
        : {reason: 'rate-unknown' as const, dueAtMs: nowMs + LEAST_REFUSAL_MS};
    const retryAfterMs = Math.max(1, Math.ceil(dueAtMs - nowMs));
    return {admitted: false, reason, retryAfterMs};
  }

  #noteDemand(): void {
    const nowMs = performance.now();
    const ageMs = nowMs - this.#demandAtMs;
    this.#demand = this.#demand * Math.exp(-ageMs / DEMAND_DECAY_MS) + 1;
    this.#demandAtMs = nowMs;
  }

  async #refill(): Promise<void> {
    // Requests that came in the same turn count among the waiting.
    await Promise.resolve();
    const startMs = performance.now();
    let rounds = 0;
    while (rounds < MAX_ROUNDS) {
      const asks = this.#plan();
      const waitedMs = performance.now() - startMs;
      const isLate = this.#late.size > 0 && waitedMs < LATE_WAIT_MS;
      if (asks.length > 0) {
        if (!isLate && waitedMs > MAX_WAIT_MS) return;
        rounds += 1;
        await this.#drawAll(asks);
      } else {
        if (!isLate) break;
        await this.#waitForLate();
      }
      if (this.#missingNow() <= 0) return;
    }
    this.#refusal = this.#shortage();
  }

  async #drawAll(asks: readonly Ask[]): Promise<void> {
    const draws = asks.map(ask => this.#draw(ask));
    await Promise.all(draws.filter((_, i) => !asks[i]?.view.isSilent));
  }

  /** Waits for a late answer, or until others may have gained something. */
  async #waitForLate(): Promise<void> {
    await Promise.race([...this.#late, sleep(PATIENCE_MS)]);
  }

  #missingNow(): number {
    const neededMicros = Math.max(1, this.#waiting) * MICROS_PER_TOKEN;
    return neededMicros - this.pocket.left(performance.now());
  }

  /** The own share serves who waits; others are asked ahead of demand. */
  #plan(): readonly Ask[] {
    const nowMs = performance.now();
    const {distance} = this.#options;
    let missing = this.#missingNow();
    if (missing <= 0) return [];
    const own = this.#views.filter(v => distance(v.holder) === 0);
    const near = this.#views.filter(v => distance(v.holder) === 1);
    const far = this.#views.filter(v => distance(v.holder) > 1);
    const byBalance = (views: readonly HolderView[]) =>
      views.toSorted((a, b) => b.expected(nowMs) - a.expected(nowMs));
    const choose = (view: HolderView): readonly Ask[] => {
      const most = largestLoan(view.holder.share);
      const expected = Math.min(most, view.expected(nowMs));
      if (missing <= 0 || expected < LEAST_ASK_MICROS) return [];
      const wantedMicros = Math.ceil(missing);
      if (!view.isSilent) missing -= Math.min(expected, missing);
      return [{view, wantedMicros}];
    };
    const ofOwn = own.flatMap(choose);
    if (missing <= 0) return ofOwn;
    missing += this.#demand * DEMAND_AHEAD_S * MICROS_PER_TOKEN;
    return [
      ...ofOwn,
      ...[...byBalance(near), ...byBalance(far)].flatMap(choose),
    ];
  }

  /** Waits a short time only; a grant that comes later is still taken. */
  async #draw(ask: Ask): Promise<void> {
    let answered = false;
    const wasSilent = ask.view.isSilent;
    const reply = this.#ask(ask).finally(() => {
      answered = true;
      this.#late.delete(reply);
    });
    await Promise.race([reply, sleep(PATIENCE_MS)]);
    if (answered) return;
    ask.view.noteSilence();
    // One that was silent before would hold up requests again and again.
    if (!wasSilent) this.#late.add(reply);
  }

  async #ask({view, wantedMicros}: Ask): Promise<void> {
    const {customer, draw, nextLoan} = this.#options;
    const lender = view.holder.member.peersAddress;
    const settlements = this.pocket.settlementsFor(lender);
    const loan = nextLoan();
    const askedAtMs = performance.now();
    try {
      const ask = {customer: customer.id, loan, wantedMicros, settlements};
      const reply = await draw(view.holder, ask);
      view.noteReply(reply);
      if (reply.grants) this.pocket.told(settlements);
      this.#take({loan, lender, askedAtMs}, reply.grantedMicros);
    } catch {
      view.noteSilence();
    }
  }

  #take(
    of: {
      readonly loan: string;
      readonly lender: string;
      readonly askedAtMs: number;
    },
    leftMicros: number,
  ): void {
    if (leftMicros === 0) return;
    const nothing = {spentMicros: 0, returnedMicros: 0, toldMicros: 0};
    this.pocket.add({...of, leftMicros, ...nothing});
  }

  /** When the next token is due, by what the helpful holders gain. */
  #shortage(): Refusal {
    const nowMs = performance.now();
    const helpful = this.#views.filter(view => view.isHelpful);
    const all = helpful.length === this.#views.length;
    const reason = all ? 'over-rate' : 'rate-unknown';
    if (helpful.length === 0) {
      const untilMs = nowMs + UNKNOWN_REFUSAL_MS;
      return {reason, untilMs, dueAtMs: nowMs + MAX_REFUSAL_MS};
    }
    const rate = helpful.reduce((s, v) => s + v.holder.share.rateMicros, 0);
    const there = helpful.reduce((s, v) => s + v.expected(nowMs), 0);
    const missing = MICROS_PER_TOKEN - this.pocket.left(nowMs) - there;
    const dueMs = (Math.max(0, missing) / rate) * 1000 * DUE_MARGIN;
    const pauseMs = Math.min(MAX_REFUSAL_MS, Math.max(LEAST_REFUSAL_MS, dueMs));
    return {reason, untilMs: nowMs + pauseMs, dueAtMs: nowMs + dueMs};
  }
}
