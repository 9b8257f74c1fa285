/**
 * The repeat budget of one service under load, in virtual time and without a
 * network: requests, failed answers, and calls of which every second one is
 * made by a repeat.
 */
import {PAYMENT_INTERVAL_MS} from '../../src/mesh/limits/payment_timer.js';
import {RepeatCalls} from '../../src/mesh/limits/repeat_calls.js';
import {RepeatBudget} from '../../src/mesh/limits/repeat_budget.js';
import {REPEAT_BOUNDS} from './repeat_windows.js';
import {SILENT_LOG} from './silent_log.js';

const SERVICE = 'documents';
const STEP_MS = 10;
const REPEAT_CALL_SHARE = 0.5;

/** Events per second over the whole service. */
export interface RepeatRates {
  readonly requests: number;
  readonly failed: number;
  /** Calls by backend servers; some of them are made by repeats. */
  readonly calls: number;
}

/** Runs a load and counts the repeats. */
export class RepeatLoad {
  readonly #budget: RepeatBudget;
  readonly #calls: RepeatCalls;
  readonly #due = {requests: 0, failed: 0, calls: 0};
  readonly #repeatedAtMs: number[] = [];
  #callCount = 0;
  #nowMs = 0;

  constructor() {
    this.#budget = new RepeatBudget({
      peers: {
        selfId: 'vm-0',
        reachable: () => [],
        count: () => 1,
        requestRepeat: () => Promise.resolve(undefined),
        pay: () => undefined,
      },
      bounds: REPEAT_BOUNDS,
      isFirstStart: true,
      now: () => this.#nowMs,
    });
    this.#calls = new RepeatCalls({
      repeats: this.#budget,
      inFlight: {recordCall: () => this.#isCallOfRepeat()},
      log: SILENT_LOG,
    });
  }

  async run(rates: RepeatRates, forMs: number): Promise<void> {
    const endMs = this.#nowMs + forMs;
    for (; this.#nowMs < endMs; this.#nowMs += STEP_MS) {
      if (this.#nowMs % PAYMENT_INTERVAL_MS === 0) this.#budget.sendPayments();
      this.#dueEvents('requests', rates).forEach(() =>
        this.#budget.countRequest(SERVICE),
      );
      this.#dueEvents('calls', rates).forEach(() => this.#call());
      const failed = this.#dueEvents('failed', rates);
      const answers = failed.map(() => this.#budget.take(SERVICE));
      const granted = (await Promise.all(answers)).filter(a => a.isGranted);
      granted.forEach(() => this.#repeatedAtMs.push(this.#nowMs));
    }
  }

  /** Repeats of each window, as a share of what the operators allow. */
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
    this.#callCount += 1;
    this.#calls.chargeIfRepeat('call', SERVICE);
    if (this.#isCallOfRepeat()) this.#repeatedAtMs.push(this.#nowMs);
  }

  /** Whether the current call is made by a repeat. */
  #isCallOfRepeat(): boolean {
    return this.#callCount % (1 / REPEAT_CALL_SHARE) === 0;
  }

  /** One entry for each event that is due in this step. */
  #dueEvents(kind: keyof RepeatRates, rates: RepeatRates): readonly unknown[] {
    this.#due[kind] += (rates[kind] * STEP_MS) / 1000;
    const count = Math.floor(this.#due[kind]);
    this.#due[kind] -= count;
    return Array.from({length: count});
  }
}
