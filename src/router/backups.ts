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
import type {AttemptOptions} from './attempts.js';
import type {Candidate} from './gates.js';
import type {GateRecords} from './gate_records.js';
import {LatencyQuantile} from './latency_quantile.js';
import type {RetryBudget} from './retry_budget.js';

/** Options of {@link Backups}. */
export interface BackupsOptions {
  readonly budget: RetryBudget;
  readonly records: GateRecords;
  readonly metrics: Metrics;
}

/** What a hedge is sent with. */
export interface BackupMeans extends Pick<AttemptOptions, 'next' | 'draw'> {
  /** Gates that the request was sent to; the hedge's gate is added. */
  readonly tried: Set<string>;
}

interface Send {
  readonly memberId: string;
  readonly outcome: Promise<Outcome>;
  readonly cancel: () => void;
}

const LATE_FACTOR = 2.5;
const LATE_MIN_MS = 50;
const LATE_MAX_MS = 2000;

/** Sends requests, and hedges them if that is safe and within the budget. */
export class Backups {
  readonly #options: BackupsOptions;
  readonly #latencies = new Map<string, LatencyQuantile>();

  constructor(options: BackupsOptions) {
    this.#options = options;
  }

  /** Sends to one gate or two; resolves to the best outcome. */
  async run(
    candidate: Candidate,
    work: Work,
    means: BackupMeans,
  ): Promise<Outcome> {
    const {budget} = this.#options;
    const {service} = work;
    if (means.tried.size === 1) budget.deposit(service);
    const first = this.#send(candidate, work);
    if (!mayRunTwice(work)) return first.outcome;
    const early = await within(first.outcome, this.#lateMs(service));
    if (early && !isServerFault(early)) return early;
    if (!early) this.#options.records.noteSilent(first.memberId);
    const cause = early ? 'failed' : 'late';
    const second = await this.#backup(work, means, cause);
    return second ? best([first, second]) : first.outcome;
  }

  /**
   * Takes a retry of work that may have run from the budget; false if the
   * budget is used up.
   */
  payRetry(service: string): boolean {
    const paid = this.#options.budget.take(service);
    const cause = paid ? 'retry' : 'unpaid';
    this.#options.metrics.count('router.backups', {service, cause});
    return paid;
  }

  async #backup(
    work: Work,
    means: BackupMeans,
    cause: string,
  ): Promise<Send | undefined> {
    const {budget, metrics} = this.#options;
    const {service} = work;
    if (work.signal.aborted || !budget.has(service)) return undefined;
    const candidate = means.next(means.tried);
    if (!candidate) return undefined;
    const token = work.token && (await means.draw());
    if (work.token && !token) return undefined;
    if (!budget.take(service)) {
      token?.giveBack();
      return undefined;
    }
    means.tried.add(candidate.memberId);
    metrics.count('router.backups', {service, cause});
    const send = this.#send(candidate, {...work, token});
    void send.outcome.then(outcome => {
      if (outcome.kind === 'not-run') token?.giveBack();
    });
    return send;
  }

  #send({memberId, door}: Candidate, work: Work): Send {
    const cancelled = new AbortController();
    const cancel = () => cancelled.abort();
    // Cheaper than AbortSignal.any, whose cost is noticeable on every request.
    work.signal.addEventListener('abort', cancel, {once: true});
    if (work.signal.aborted) cancel();
    const startedAtMs = performance.now();
    const outcome = door.run({...work, signal: cancelled.signal});
    void outcome
      .then(ended => this.#note(memberId, work, ended, startedAtMs))
      .catch(() => undefined);
    return {memberId, outcome, cancel};
  }

  #note(memberId: string, work: Work, outcome: Outcome, atMs: number): void {
    const {records} = this.#options;
    const {service} = work;
    if (outcome.kind === 'answered') {
      return this.#latencyOf(service).add(performance.now() - atMs);
    }
    NOTES[outcome.reason]?.(records, memberId, service);
  }

  #lateMs(service: string): number {
    const usualMs = this.#latencyOf(service).value;
    if (usualMs === undefined) return LATE_MAX_MS;
    return Math.min(LATE_MAX_MS, Math.max(LATE_MIN_MS, usualMs * LATE_FACTOR));
  }

  #latencyOf(service: string): LatencyQuantile {
    const known = this.#latencies.get(service);
    if (known) return known;
    const fresh = new LatencyQuantile();
    this.#latencies.set(service, fresh);
    return fresh;
  }
}

type Note = (records: GateRecords, memberId: string, service: string) => void;

const noteBusy: Note = (records, id, service) => records.noteBusy(id, service);
const noteSilent: Note = (records, id) => records.noteSilent(id);

/** What is recorded about the gate for an outcome without an answer. */
const NOTES: Readonly<Partial<Record<(NotRun | Unknown)['reason'], Note>>> = {
  busy: noteBusy,
  draining: noteBusy,
  'no-instance': noteBusy,
  'connect-failed': noteSilent,
};

function isServerFault(outcome: Outcome): boolean {
  return outcome.kind === 'answered' && outcome.status >= 500;
}

function isGood(outcome: Outcome): boolean {
  return outcome.kind === 'answered' && outcome.status < 500;
}

/** The outcome, or undefined if it isn't there within `ms` milliseconds. */
async function within(
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

const KIND_ORDER = {answered: 0, unknown: 1, 'not-run': 2} as const;

/**
 * The first answer that isn't a server error. If there is none, a server error
 * is preferred to an unknown outcome, and that to "not run".
 */
async function best(sends: readonly Send[]): Promise<Outcome> {
  const good = sends.map(async send => {
    const outcome = await send.outcome;
    if (!isGood(outcome)) throw new NoGoodAnswer();
    return {send, outcome};
  });
  const winner = await Promise.any(good).catch(() => undefined);
  if (winner) {
    sends.filter(send => send !== winner.send).forEach(drop);
    return winner.outcome;
  }
  const outcomes = await Promise.all(sends.map(send => send.outcome));
  const chosen = outcomes
    .map((outcome, index) => ({outcome, index}))
    .toSorted((a, b) => KIND_ORDER[a.outcome.kind] - KIND_ORDER[b.outcome.kind])
    .at(0);
  sends.filter((_, index) => index !== chosen?.index).forEach(drop);
  return chosen?.outcome ?? {kind: 'not-run', reason: 'no-instance'};
}

/** Cancels a send whose outcome isn't used, and discards its answer. */
function drop(send: Send): void {
  send.cancel();
  void send.outcome
    .then(outcome => {
      if (outcome.kind === 'answered') outcome.body.destroy();
    })
    .catch(() => undefined);
}

/** Thrown for a send that ended in a server error or without an answer. */
class NoGoodAnswer extends Error {}
