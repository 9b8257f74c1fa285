/**
 * Hedged requests: sends a request that may safely run twice to a second gate
 * if the first answer is later than usual for the service, or is a server
 * error of the backend server. The first answer without a server error is
 * used, and the other send is cancelled. A retry budget bounds the added load.
 */
import {
  mayRunTwice,
  type NotRun,
  type Outcome,
  type Unknown,
  type Work,
} from '../gate/work.js';
import type {Metrics} from '../metrics/metrics.js';
import type {RetryOptions} from './retries.js';
import type {GateCandidate} from './gate_selector.js';
import type {GateRecords} from './gate_records.js';
import {LatencyQuantile} from './latency_quantile.js';
import type {RetryBudget} from './retry_budget.js';

/** Options of {@link HedgedSender}. */
export interface HedgedSenderOptions {
  readonly budget: RetryBudget;
  readonly records: GateRecords;
  readonly metrics: Metrics;
}

/** What a hedge is sent with. */
export interface HedgeOptions extends Pick<RetryOptions, 'next' | 'drawToken'> {
  /** Gates that the request was sent to; the hedge's gate is added. */
  readonly tried: Set<string>;
}

interface PendingSend {
  readonly memberId: string;
  readonly outcome: Promise<Outcome>;
  readonly cancel: () => void;
}

const HEDGE_DELAY_FACTOR = 2.5;
const HEDGE_DELAY_MIN_MS = 50;
const HEDGE_DELAY_MAX_MS = 2000;

/** Sends requests, and hedges them if that is safe and within the budget. */
export class HedgedSender {
  readonly #options: HedgedSenderOptions;
  readonly #latencies = new Map<string, LatencyQuantile>();

  constructor(options: HedgedSenderOptions) {
    this.#options = options;
  }

  /** Sends to one gate or two; resolves to the best outcome. */
  async run(
    candidate: GateCandidate,
    work: Work,
    options: HedgeOptions,
  ): Promise<Outcome> {
    const {budget} = this.#options;
    const {service} = work;
    if (options.tried.size === 1) budget.deposit(service);
    const first = this.#send(candidate, work);
    if (!mayRunTwice(work)) return first.outcome;
    const earlyOutcome = await waitAtMost(
      first.outcome,
      this.#hedgeDelayMs(service),
    );
    if (earlyOutcome && !isServerError(earlyOutcome)) return earlyOutcome;
    if (!earlyOutcome) this.#options.records.recordUnresponsive(first.memberId);
    const cause = earlyOutcome ? 'failed' : 'late';
    const second = await this.#sendHedge(work, options, cause);
    return second ? bestOutcome([first, second]) : first.outcome;
  }

  /**
   * Takes a retry of work that may have run from the budget; false if the
   * budget is used up.
   */
  payForRetry(service: string): boolean {
    const isPaid = this.#options.budget.withdraw(service);
    const cause = isPaid ? 'retry' : 'unpaid';
    this.#options.metrics.count('router.backups', {service, cause});
    return isPaid;
  }

  async #sendHedge(
    work: Work,
    options: HedgeOptions,
    cause: string,
  ): Promise<PendingSend | undefined> {
    const {budget, metrics} = this.#options;
    const {service} = work;
    if (work.signal.aborted || !budget.allowsRetry(service)) return undefined;
    const candidate = options.next(options.tried);
    if (!candidate) return undefined;
    const token = work.token && (await options.drawToken());
    if (work.token && !token) return undefined;
    if (!budget.withdraw(service)) {
      token?.release();
      return undefined;
    }
    options.tried.add(candidate.memberId);
    metrics.count('router.backups', {service, cause});
    const send = this.#send(candidate, {...work, token});
    void send.outcome.then(outcome => {
      if (outcome.kind === 'not-run') token?.release();
    });
    return send;
  }

  #send({memberId, gate}: GateCandidate, work: Work): PendingSend {
    const cancellation = new AbortController();
    const cancel = () => cancellation.abort();
    // Cheaper than AbortSignal.any, whose cost is noticeable on every request.
    work.signal.addEventListener('abort', cancel, {once: true});
    if (work.signal.aborted) cancel();
    const startedAtMs = performance.now();
    const outcome = gate.run({...work, signal: cancellation.signal});
    void outcome
      .then(ended => this.#recordOutcome(memberId, work, ended, startedAtMs))
      .catch(() => undefined);
    return {memberId, outcome, cancel};
  }

  #recordOutcome(
    memberId: string,
    work: Work,
    outcome: Outcome,
    startedAtMs: number,
  ): void {
    const {records} = this.#options;
    const {service} = work;
    if (outcome.kind === 'answered') {
      return this.#latencyFor(service).add(performance.now() - startedAtMs);
    }
    RECORDER_BY_REASON[outcome.reason]?.(records, memberId, service);
  }

  /** The usual latency of a service; undefined while it isn't known. */
  usualMs(service: string): number | undefined {
    return this.#latencies.get(service)?.value;
  }

  #hedgeDelayMs(service: string): number {
    const percentileMs = this.#latencyFor(service).value;
    if (percentileMs === undefined) return HEDGE_DELAY_MAX_MS;
    return Math.min(
      HEDGE_DELAY_MAX_MS,
      Math.max(HEDGE_DELAY_MIN_MS, percentileMs * HEDGE_DELAY_FACTOR),
    );
  }

  #latencyFor(service: string): LatencyQuantile {
    const known = this.#latencies.get(service);
    if (known) return known;
    const fresh = new LatencyQuantile();
    this.#latencies.set(service, fresh);
    return fresh;
  }
}

type GateRecorder = (
  records: GateRecords,
  memberId: string,
  service: string,
) => void;

const recordBusy: GateRecorder = (records, id, service) =>
  records.recordBusy(id, service);
const recordUnresponsive: GateRecorder = (records, id) =>
  records.recordUnresponsive(id);

/** What is recorded about the gate for an outcome without an answer. */
const RECORDER_BY_REASON: Readonly<
  Partial<Record<(NotRun | Unknown)['reason'], GateRecorder>>
> = {
  busy: recordBusy,
  draining: recordBusy,
  'no-instance': recordBusy,
  'connect-failed': recordUnresponsive,
};

function isServerError(outcome: Outcome): boolean {
  return outcome.kind === 'answered' && outcome.status >= 500;
}

function isSuccess(outcome: Outcome): boolean {
  return outcome.kind === 'answered' && outcome.status < 500;
}

/** The outcome, or undefined if it isn't there within `ms` milliseconds. */
async function waitAtMost(
  outcome: Promise<Outcome>,
  ms: number,
): Promise<Outcome | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<undefined>(resolve => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  try {
    return await Promise.race([outcome, late]);
  } finally {
    clearTimeout(timer);
  }
}

const OUTCOME_RANK = {answered: 0, unknown: 1, 'not-run': 2} as const;

/**
 * The first answer that isn't a server error. If there is none, a server error
 * is preferred to an unknown outcome, and that to "not run".
 */
async function bestOutcome(sends: readonly PendingSend[]): Promise<Outcome> {
  const successes = sends.map(async send => {
    const outcome = await send.outcome;
    if (!isSuccess(outcome)) throw new NoSuccessError();
    return {send, outcome};
  });
  const winner = await Promise.any(successes).catch(() => undefined);
  if (winner) {
    sends.filter(send => send !== winner.send).forEach(cancelSend);
    return winner.outcome;
  }
  const outcomes = await Promise.all(sends.map(send => send.outcome));
  const chosen = outcomes
    .map((outcome, index) => ({outcome, index}))
    .toSorted(
      (a, b) => OUTCOME_RANK[a.outcome.kind] - OUTCOME_RANK[b.outcome.kind],
    )
    .at(0);
  sends.filter((_, index) => index !== chosen?.index).forEach(cancelSend);
  return chosen?.outcome ?? {kind: 'not-run', reason: 'no-instance'};
}

/** Cancels a send whose outcome isn't used, and discards its answer. */
function cancelSend(send: PendingSend): void {
  send.cancel();
  void send.outcome
    .then(outcome => {
      if (outcome.kind === 'answered') outcome.body.destroy();
    })
    .catch(() => undefined);
}

/** Thrown for a send that ended in a server error or without an answer. */
class NoSuccessError extends Error {}
