/**
 * The borrower's side of the escrow for one customer: admits requests with
 * borrowed tokens and refills these from the holders, the nearest first. One
 * refill runs at a time; requests that arrive during a refill share its result.
 */
import type {Generation} from '../member/generation.js';
import {ResponseTimeout} from '../timing/response_timeout.js';
import {HolderView} from './holder_view.js';
import type {Admission} from './limiter.js';
import type {DrawReply, DrawRequest} from './messages.js';
import {MICROS_PER_TOKEN} from './micro_tokens.js';
import type {BorrowedTokens} from './borrowed_tokens.js';
import {
  holdersOf,
  maxLoanMicros,
  type CustomerRate,
  type Holder,
} from './shares.js';

/** Options of {@link Account}. */
export interface AccountOptions {
  readonly customer: CustomerRate;
  readonly generation: Generation;
  /** Tokens already borrowed, also under an earlier rate or generation. */
  readonly borrowed: BorrowedTokens;
  /** Requests a loan from a holder; throws `peerUnreachable`. */
  readonly draw: (holder: Holder, req: DrawRequest) => Promise<DrawReply>;
  /** 0: this daemon, 1: its failure domain, 2: other failure domains. */
  readonly distance: (holder: Holder) => number;
  readonly nextLoanId: () => string;
}

interface Refusal {
  readonly reason: 'over-rate' | 'rate-unknown';
  /** No holder is asked before this time; monotonic clock, milliseconds. */
  readonly untilMs: number;
  readonly dueAtMs: number;
}

/** A draw to be sent to one holder. */
interface PlannedDraw {
  readonly view: HolderView;
  readonly wantedMicros: number;
}

const PREFETCH_S = 0.25;
const DEMAND_DECAY_MS = 1000;
const MAX_DRAW_ROUNDS = 6;
const DRAW_WAIT_MS = 80;
const MAX_ADMIT_ATTEMPTS = 5;
/** A request that has waited this long does not wait for another refill. */
const MAX_REFILL_WAIT_MS = 100;
/** How long a refill waits for late replies; its first draws time out then. */
const LATE_REPLY_WAIT_MS = 500;
/** A holder with a smaller expected balance is not asked. */
const MIN_DRAW_MICROS = 10_000;
const MIN_REFUSAL_MS = 25;
const MAX_REFUSAL_MS = 1000;
const RATE_UNKNOWN_REFUSAL_MS = 250;
const DUE_TIME_MARGIN = 1.05;

/** The rate of one customer, as seen by one borrower. */
export class Account {
  readonly borrowed: BorrowedTokens;
  readonly #options: AccountOptions;
  readonly #views: readonly HolderView[];
  #refusal: Refusal | undefined;
  #refillInProgress: Promise<void> | undefined;
  /** Draws that had no reply within the draw wait but may still get one. */
  readonly #lateReplies = new Set<Promise<void>>();
  #waitingRequests = 0;
  #demand = 0;
  #demandAtMs = performance.now();

  constructor(options: AccountOptions) {
    this.#options = options;
    this.borrowed = options.borrowed;
    const {customer, generation, distance} = options;
    this.#views = holdersOf(customer, generation)
      .toSorted((a, b) => distance(a) - distance(b))
      .map(holder => new HolderView(holder));
  }

  /** True if the account was created for this rate and generation. */
  matches(customer: CustomerRate, generation: Generation): boolean {
    const {customer: last} = this.#options;
    return (
      this.#options.generation === generation &&
      last.ratePerSecond === customer.ratePerSecond &&
      last.burst === customer.burst
    );
  }

  /** Milliseconds since the last request. */
  idleMs(nowMs: number): number {
    return nowMs - this.#demandAtMs;
  }

  /** Returns a token or a refusal; waits for refills if needed. */
  async admit(): Promise<Admission> {
    this.#recordDemand();
    const startMs = performance.now();
    for (let attempts = 0; attempts < MAX_ADMIT_ATTEMPTS; attempts += 1) {
      const nowMs = performance.now();
      const token = this.borrowed.take(nowMs);
      if (token) return {admitted: true, token};
      if (this.#refusal && nowMs < this.#refusal.untilMs) break;
      if (nowMs - startMs > MAX_REFILL_WAIT_MS) break;
      this.#waitingRequests += 1;
      this.#refillInProgress ??= this.#refill().finally(() => {
        this.#refillInProgress = undefined;
      });
      await this.#refillInProgress;
      this.#waitingRequests -= 1;
    }
    const token = this.borrowed.take(performance.now());
    return token ? {admitted: true, token} : this.#refuse();
  }

  #refuse(): Admission {
    const nowMs = performance.now();
    const refusal = this.#refusal;
    const {reason, dueAtMs} =
      refusal && nowMs < refusal.untilMs
        ? refusal
        : {reason: 'rate-unknown' as const, dueAtMs: nowMs + MIN_REFUSAL_MS};
    const retryAfterMs = Math.max(1, Math.ceil(dueAtMs - nowMs));
    return {admitted: false, reason, retryAfterMs};
  }

  #recordDemand(): void {
    const nowMs = performance.now();
    const ageMs = nowMs - this.#demandAtMs;
    this.#demand = this.#demand * Math.exp(-ageMs / DEMAND_DECAY_MS) + 1;
    this.#demandAtMs = nowMs;
  }

  async #refill(): Promise<void> {
    // Requests of the same event loop turn are counted as waiting.
    await Promise.resolve();
    let isTooLate = false;
    const lateWait = new ResponseTimeout(LATE_REPLY_WAIT_MS, () => {
      isTooLate = true;
    });
    try {
      await this.#drawUntil(() => isTooLate);
    } finally {
      lateWait.cancel();
    }
  }

  async #drawUntil(isTooLate: () => boolean): Promise<void> {
    const startMs = performance.now();
    let rounds = 0;
    while (rounds < MAX_DRAW_ROUNDS) {
      const draws = this.#planDraws();
      const waitedMs = performance.now() - startMs;
      const mayComeLate = this.#lateReplies.size > 0 && !isTooLate();
      if (draws.length > 0) {
        if (!mayComeLate && waitedMs > MAX_REFILL_WAIT_MS) return;
        rounds += 1;
        await this.#sendAndWait(draws);
      } else {
        if (!mayComeLate) break;
        await this.#waitForLateReply();
      }
      if (this.#missingMicros() <= 0) return;
    }
    this.#refusal = this.#estimateRefusal();
  }

  async #sendAndWait(planned: readonly PlannedDraw[]): Promise<void> {
    const pending = planned.map(draw => this.#draw(draw));
    await Promise.all(
      pending.filter((_, i) => !planned[i]?.view.isUnresponsive),
    );
  }

  /** Waits for a late reply, or until other holders may have gained tokens. */
  async #waitForLateReply(): Promise<void> {
    await waitForReply([...this.#lateReplies], DRAW_WAIT_MS);
  }

  #missingMicros(): number {
    const neededMicros = Math.max(1, this.#waitingRequests) * MICROS_PER_TOKEN;
    return neededMicros - this.borrowed.availableMicros(performance.now());
  }

  /**
   * Draws from this daemon's own share only what waiting requests need. If
   * that is too little, draws from other holders also cover expected demand.
   */
  #planDraws(): readonly PlannedDraw[] {
    const nowMs = performance.now();
    const {distance} = this.#options;
    let missing = this.#missingMicros();
    if (missing <= 0) return [];
    const own = this.#views.filter(v => distance(v.holder) === 0);
    const near = this.#views.filter(v => distance(v.holder) === 1);
    const far = this.#views.filter(v => distance(v.holder) > 1);
    const byBalance = (views: readonly HolderView[]) =>
      views.toSorted(
        (a, b) => b.expectedMicros(nowMs) - a.expectedMicros(nowMs),
      );
    const choose = (view: HolderView): readonly PlannedDraw[] => {
      const maxMicros = maxLoanMicros(view.holder.share);
      const expected = Math.min(maxMicros, view.expectedMicros(nowMs));
      if (missing <= 0 || expected < MIN_DRAW_MICROS) return [];
      const wantedMicros = Math.ceil(missing);
      if (!view.isUnresponsive) missing -= Math.min(expected, missing);
      return [{view, wantedMicros}];
    };
    const ofOwn = own.flatMap(choose);
    if (missing <= 0) return ofOwn;
    missing += this.#demand * PREFETCH_S * MICROS_PER_TOKEN;
    return [
      ...ofOwn,
      ...[...byBalance(near), ...byBalance(far)].flatMap(choose),
    ];
  }

  /** Waits up to `DRAW_WAIT_MS`; a grant that arrives later is still added. */
  async #draw(planned: PlannedDraw): Promise<void> {
    let answered = false;
    const wasUnresponsive = planned.view.isUnresponsive;
    const reply = this.#sendDraw(planned).finally(() => {
      answered = true;
      this.#lateReplies.delete(reply);
    });
    await waitForReply([reply], DRAW_WAIT_MS);
    if (answered) return;
    planned.view.recordTimeout();
    // Waiting for a holder that was already unresponsive would delay every
    // refill.
    if (!wasUnresponsive) this.#lateReplies.add(reply);
  }

  async #sendDraw({view, wantedMicros}: PlannedDraw): Promise<void> {
    const {customer, draw, nextLoanId} = this.#options;
    const lender = view.holder.member.peersAddress;
    const settlements = this.borrowed.settlementsFor(lender);
    const loan = nextLoanId();
    const requestedAtMs = performance.now();
    try {
      const req = {customer: customer.id, loan, wantedMicros, settlements};
      const reply = await draw(view.holder, req);
      view.recordReply(reply);
      if (reply.grants) this.borrowed.acknowledge(settlements);
      this.#addGrant({loan, lender, requestedAtMs}, reply.grantedMicros);
    } catch {
      view.recordTimeout();
    }
  }

  #addGrant(
    grant: {
      readonly loan: string;
      readonly lender: string;
      readonly requestedAtMs: number;
    },
    leftMicros: number,
  ): void {
    if (leftMicros === 0) return;
    const settled = {spentMicros: 0, returnedMicros: 0, acknowledgedMicros: 0};
    this.borrowed.add({...grant, leftMicros, ...settled});
  }

  /** Estimates when the next token is due by the granting holders' rates. */
  #estimateRefusal(): Refusal {
    const nowMs = performance.now();
    const granting = this.#views.filter(view => view.isGranting);
    const allGranting = granting.length === this.#views.length;
    const reason = allGranting ? 'over-rate' : 'rate-unknown';
    if (granting.length === 0) {
      const untilMs = nowMs + RATE_UNKNOWN_REFUSAL_MS;
      return {reason, untilMs, dueAtMs: nowMs + MAX_REFUSAL_MS};
    }
    const rateMicros = granting.reduce(
      (s, v) => s + v.holder.share.rateMicros,
      0,
    );
    const expectedMicros = granting.reduce(
      (s, v) => s + v.expectedMicros(nowMs),
      0,
    );
    const missing =
      MICROS_PER_TOKEN - this.borrowed.availableMicros(nowMs) - expectedMicros;
    const dueMs = (Math.max(0, missing) / rateMicros) * 1000 * DUE_TIME_MARGIN;
    const pauseMs = Math.min(MAX_REFUSAL_MS, Math.max(MIN_REFUSAL_MS, dueMs));
    return {reason, untilMs: nowMs + pauseMs, dueAtMs: nowMs + dueMs};
  }
}

/** Waits until one of the draws has ended, or for the time given. */
function waitForReply(
  draws: readonly Promise<void>[],
  timeoutMs: number,
): Promise<void> {
  return new Promise(resolve => {
    const timeout = new ResponseTimeout(timeoutMs, resolve);
    void Promise.race(draws).finally(() => {
      timeout.cancel();
      resolve();
    });
  });
}
