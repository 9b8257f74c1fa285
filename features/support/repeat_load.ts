/**
 * The budget of repeats of one service, in virtual time and without a
 * network: its requests, answers that fail, and calls of which every second
 * one comes from a run that is a repeat itself.
 */
import {PAY_MS} from '../../src/mesh/limits/payment_timer.js';
import {RepeatCalls} from '../../src/mesh/limits/repeat_calls.js';
import {RepeatBudget} from '../../src/mesh/limits/repeat_budget.js';
import {REPEAT_BOUNDS} from './repeat_windows.js';
import {SILENT_LOG} from './silent_log.js';

const SERVICE = 'documents';
const STEP_MS = 10;
const REPEAT_SHARE = 0.5;

/** Events a second over the whole service. */
export interface RepeatRates {
  readonly requests: number;
  readonly failed: number;
  /** Among the requests. */
  readonly calls: number;
}

/** Plays a load and counts the repeats. */
export class RepeatLoad {
  readonly #budget: RepeatBudget;
  readonly #calls: RepeatCalls;
  readonly #due = {requests: 0, failed: 0, calls: 0};
  readonly #repeatedAtMs: number[] = [];
  #called = 0;
  #nowMs = 0;

  constructor() {
    this.#budget = new RepeatBudget({
      peers: {
        selfId: 'vm-0',
        reachable: () => [],
        count: () => 1,
        askRepeat: () => Promise.resolve(undefined),
        pay: () => undefined,
      },
      bounds: REPEAT_BOUNDS,
      isFirstStart: true,
      now: () => this.#nowMs,
    });
    this.#calls = new RepeatCalls({
      repeats: this.#budget,
      runs: {recordCall: () => this.#isOfRepeat()},
      log: SILENT_LOG,
    });
  }

  async play(rates: RepeatRates, forMs: number): Promise<void> {
    const endMs = this.#nowMs + forMs;
    for (; this.#nowMs < endMs; this.#nowMs += STEP_MS) {
      if (this.#nowMs % PAY_MS === 0) this.#budget.payAll();
      this.#times('requests', rates).forEach(() =>
        this.#budget.demand(SERVICE),
      );
      this.#times('calls', rates).forEach(() => this.#call());
      const failed = this.#times('failed', rates);
      const answers = failed.map(() => this.#budget.take(SERVICE));
      const granted = (await Promise.all(answers)).filter(a => a.isGranted);
      granted.forEach(() => this.#repeatedAtMs.push(this.#nowMs));
    }
  }

  /** Parts of what the operators allow that the windows used. */
  usedShares(requestsPerS: number): readonly number[] {
    const {ratio, windowS, slack} = REPEAT_BOUNDS;
    const allowed = ratio * requestsPerS * windowS + slack;
    const spanMs = windowS * 1000;
    return this.#repeatedAtMs
      .filter(from => from + spanMs <= this.#nowMs)
      .map(from => {
        const isInWindow = (at: number) => at >= from && at < from + spanMs;
        return this.#repeatedAtMs.filter(isInWindow).length / allowed;
      });
  }

  #call(): void {
    this.#called += 1;
    this.#calls.called('call', SERVICE);
    if (this.#isOfRepeat()) this.#repeatedAtMs.push(this.#nowMs);
  }

  /** Whether a repeat makes the present call. */
  #isOfRepeat(): boolean {
    return this.#called % (1 / REPEAT_SHARE) === 0;
  }

  /** One entry for each event of this step. */
  #times(kind: keyof RepeatRates, rates: RepeatRates): readonly unknown[] {
    this.#due[kind] += (rates[kind] * STEP_MS) / 1000;
    const count = Math.floor(this.#due[kind]);
    this.#due[kind] -= count;
    return Array.from({length: count});
  }
}
