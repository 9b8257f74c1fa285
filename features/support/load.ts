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
  readonly perSecond: number;
  /** Requests that are sent at the same moment. */
  readonly atOnce: number;
}

/** The result of one request; status 0 if there was no answer. */
export interface LoadAnswer {
  readonly status: number;
  readonly tookMs: number;
  /** The last part of the problem's type for refusals, otherwise empty. */
  readonly problem: string;
}

/** Sends requests at a constant rate, independent of the answers. */
export class Load {
  readonly #plan: LoadPlan;
  readonly #agent = new Agent({connections: 256});
  readonly #open = new Set<Promise<void>>();
  readonly answers: LoadAnswer[] = [];
  readonly #ended: Promise<void>;
  #running = true;
  #sent = 0;

  constructor(plan: LoadPlan) {
    this.#plan = plan;
    this.#ended = this.#run();
  }

  /** Stops sending and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.#running = false;
    await this.#ended;
    await Promise.all(this.#open);
    await this.#agent.destroy();
  }

  async #run(): Promise<void> {
    const {perSecond, atOnce} = this.#plan;
    const startMs = performance.now();
    while (this.#running) {
      const dueMs = startMs + (this.#sent / perSecond) * 1000;
      const pauseMs = dueMs - performance.now();
      if (pauseMs > 0) await sleep(pauseMs);
      if (!this.#running) return;
      Array.from({length: atOnce}).forEach(() => this.#send());
    }
  }

  #send(): void {
    const {targets} = this.#plan;
    const target = targets[this.#sent % targets.length] ?? '';
    this.#sent += 1;
    const done = this.#ask(target).then(answer => {
      this.answers.push(answer);
      this.#open.delete(done);
    });
    this.#open.add(done);
  }

  async #ask(target: string): Promise<LoadAnswer> {
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
      return {status, tookMs, problem: problemOf(status, text)};
    } catch {
      return {status: 0, tookMs: performance.now() - startMs, problem: 'none'};
    }
  }
}

function problemOf(status: number, text: string): string {
  if (status < 400) return '';
  const {type = ''} = JSON.parse(text) as {readonly type?: string};
  return type.split(':').at(-1) ?? '';
}

/** The number of answers by status and refusal, as JSON. */
export function tally(answers: readonly LoadAnswer[]): string {
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
const JITTER_MS = 100;

/** The upper bound of {@link worstWindow} for a customer within its rate. */
export function mostInWindow(burst: number, ratePerSecond: number): number {
  return burst + (ratePerSecond * JITTER_MS) / 1000;
}

/**
 * The largest excess of starts over rate times length, over all windows of
 * time. For a customer within its rate it is at most its burst.
 */
export function worstWindow(
  startsMs: readonly number[],
  ratePerSecond: number,
): number {
  const allowedBefore = (ms: number) => (ratePerSecond * ms) / 1000;
  const worst = startsMs
    .toSorted((a, b) => a - b)
    .reduce(
      (sofar, ms, index) => {
        const lowest = Math.min(sofar.lowest, index - allowedBefore(ms));
        const excess = index + 1 - allowedBefore(ms) - lowest;
        return {lowest, excess: Math.max(sofar.excess, excess)};
      },
      {lowest: Infinity, excess: 0},
    );
  return worst.excess;
}
