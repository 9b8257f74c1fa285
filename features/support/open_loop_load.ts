/**
 * Open-loop load of one customer, and the measure for the check of its rate:
 * how many requests started at the instances within any window of time.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';

/** The requests to send. */
export interface LoadPlan {
  /** `IP:PORT` of the daemons' caller listeners, used in turn. */
  readonly targets: readonly string[];
  readonly path: string;
  readonly key: string;
  readonly requestsPerS: number;
  /** Requests that are sent at the same moment. */
  readonly batchSize: number;
}

/** The result of one request; status 0 if there was no answer. */
export interface LoadAnswer {
  readonly status: number;
  readonly tookMs: number;
  /** The last part of the problem's type for refusals, otherwise empty. */
  readonly problem: string;
}

/** Sends requests at a constant rate, independent of the answers. */
export class OpenLoopLoad {
  readonly #plan: LoadPlan;
  readonly #agent = new Agent({connections: 256});
  readonly #inFlight = new Set<Promise<void>>();
  readonly answers: LoadAnswer[] = [];
  readonly #ended: Promise<void>;
  #isRunning = true;
  #sent = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
    this.#ended = this.#run();
  }

  /** Stops sending and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    await this.#ended;
    await Promise.all(this.#inFlight);
    await this.#agent.destroy();
  }

  async #run(): Promise<void> {
    const {requestsPerS, batchSize} = this.#plan;
    const startMs = performance.now();
    while (this.#isRunning) {
      const dueMs = startMs + (this.#sent / requestsPerS) * 1000;
      const pauseMs = dueMs - performance.now();
      if (pauseMs > 0) await sleep(pauseMs);
      if (!this.#isRunning) return;
      Array.from({length: batchSize}).forEach(() => this.#send());
    }
  }

  #send(): void {
    const {targets} = this.#plan;
    const target = targets[this.#sent % targets.length] ?? '';
    this.#sent += 1;
    const done = this.#request(target).then(answer => {
      this.answers.push(answer);
      this.#inFlight.delete(done);
    });
    this.#inFlight.add(done);
  }

  async #request(target: string): Promise<LoadAnswer> {
    const startMs = performance.now();
    try {
      const res = await request(`http://${target}${this.#plan.path}`, {
        dispatcher: this.#agent,
        headers: {'x-api-key': this.#plan.key},
        signal: AbortSignal.timeout(15_000),
      });
      const text = await res.body.text();
      const status = res.statusCode;
      const tookMs = performance.now() - startMs;
      return {status, tookMs, problem: parseRefusalName(status, text)};
    } catch {
      return {status: 0, tookMs: performance.now() - startMs, problem: 'none'};
    }
  }
}

function parseRefusalName(status: number, text: string): string {
  if (status < 400) return '';
  const {type = ''} = JSON.parse(text) as {readonly type?: string};
  return type.split(':').at(-1) ?? '';
}

/** The number of answers by status and refusal, as JSON. */
export function countOutcomes(answers: readonly LoadAnswer[]): string {
  const counts = answers.reduce<Readonly<Record<string, number>>>(
    (sums, {status, problem}) => {
      const name = `${status} ${problem}`.trim();
      return {...sums, [name]: (sums[name] ?? 0) + 1};
    },
    {},
  );
  return JSON.stringify(counts);
}

/** Delays in delivery may bunch starts at the instances by up to this time. */
const START_JITTER_MS = 100;

/**
 * The upper bound of {@link worstWindowExcess} for a customer that stays within
 * its rate.
 */
export function maxInWindow(burst: number, ratePerSecond: number): number {
  return burst + (ratePerSecond * START_JITTER_MS) / 1000;
}

/**
 * The largest excess of starts over rate times length, over all windows of
 * time. For a customer within its rate it is at most its burst.
 */
export function worstWindowExcess(
  startsMs: readonly number[],
  ratePerSecond: number,
): number {
  const allowedBefore = (ms: number) => (ratePerSecond * ms) / 1000;
  const worst = startsMs
    .toSorted((a, b) => a - b)
    .reduce(
      (state, ms, index) => {
        const lowest = Math.min(state.lowest, index - allowedBefore(ms));
        const excess = index + 1 - allowedBefore(ms) - lowest;
        return {lowest, excess: Math.max(state.excess, excess)};
      },
      {lowest: Infinity, excess: 0},
    );
  return worst.excess;
}
