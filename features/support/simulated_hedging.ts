/**
 * A router that sends idempotent requests to simulated instances on a virtual
 * clock. Hedging is decided by the daemon's own modules; instances, retry
 * budget and time are simulated.
 */
import type {Outcome} from '../../src/mesh/gate/work.js';
import {
  HedgePolicy,
  type HedgingSettings,
  type HedgeRefusal,
} from '../../src/mesh/router/hedge_policy.js';
import {
  HedgedRequest,
  type HedgeCandidate,
} from '../../src/mesh/router/hedged_request.js';
import {testRoute} from './mesh_fleet.js';
import {SeededRandom} from './seeded_random.js';
import {SILENT_LOG} from './silent_log.js';

/** One phase of a load. */
export interface HedgingLoad {
  readonly requestsPerS: number;
  readonly durationMs: number;
  /** Mean work at each instance. */
  readonly workMs: (instance: number) => number;
}

const SERVICE = 'docs';
const SLOTS = 6;
/** The gates' estimate, which decides while there are few samples. */
const GATE_LATE_AFTER_MS = 2000;
const TIMEOUT_MS = 20_000;
const ROUTE = testRoute({
  name: 'read',
  prefix: '/read/',
  isIdempotent: true,
  timeoutMs: TIMEOUT_MS,
  targets: [{service: SERVICE, weight: 1}],
});
/** Work is spread evenly by this share around its mean. */
const WORK_SPREAD = 0.3;

interface Attempt {
  readonly instance: number;
  readonly isFirst: boolean;
  readonly sentAtMs: number;
  isOver: boolean;
}

interface Event {
  readonly atMs: number;
  readonly run: () => void;
}

/** The simulated router, with what it measured. */
export class SimulatedHedging {
  readonly sentAtMs: number[] = [];
  readonly hedgedAtMs: number[] = [];
  /** Share of the slots in use when each hedge was sent. */
  readonly usedShares: number[] = [];
  readonly tookMs: number[] = [];
  readonly refusals = new Map<string, number>();
  readonly ends = {won: 0, lost: 0};
  budgetAsked = 0;
  isBudgetUsedUp = false;
  #nowMs = 0;
  #events: readonly Event[] = [];
  readonly #waiting: (() => void)[] = [];
  readonly #running: number[];
  readonly #random = new SeededRandom(7);
  readonly #policy: HedgePolicy;

  constructor(instances: number, settings: HedgingSettings) {
    this.#running = Array<number>(instances).fill(0);
    this.#policy = new HedgePolicy(settings, () => this.#nowMs);
  }

  /** Runs a load until its last request is answered. */
  run({requestsPerS, durationMs, workMs}: HedgingLoad): void {
    const startMs = this.#nowMs;
    const count = Math.round((requestsPerS * durationMs) / 1000);
    Array.from({length: count}, (_, index) =>
      this.#at(startMs + (index * 1000) / requestsPerS, () =>
        this.#arrive(workMs),
      ),
    );
    for (let [next] = this.#events; next; [next] = this.#events) {
      this.#events = this.#events.slice(1);
      this.#nowMs = next.atMs;
      next.run();
    }
  }

  #at(atMs: number, run: () => void): void {
    const index = this.#events.findLastIndex(event => event.atMs <= atMs);
    this.#events = this.#events.toSpliced(index + 1, 0, {atMs, run});
  }

  #arrive(workMs: HedgingLoad['workMs']): void {
    const instance = this.#freeInstance(new Set());
    if (instance === undefined) this.#waiting.push(() => this.#arrive(workMs));
    else this.#serve(instance, workMs);
  }

  #serve(first: number, workMs: HedgingLoad['workMs']): void {
    const startedAtMs = this.#nowMs;
    const hedged = this.#hedgedRequest();
    const attempts: Attempt[] = [];
    const excluded = new Set<string>();
    let isAnswered = false;
    const onAnswer = (attempt: Attempt) => {
      isAnswered = true;
      this.tookMs.push(this.#nowMs - startedAtMs);
      if (!attempt.isFirst) hedged.recordWin();
      attempts.forEach(other => {
        if (other.isOver) return;
        other.isOver = true;
        this.#running[other.instance] =
          (this.#running[other.instance] ?? 0) - 1;
        const outcome = outcomeOf(other === attempt);
        const tookMs = this.#nowMs - other.sentAtMs;
        if (other.isFirst) hedged.recordFirstResponse(outcome, tookMs);
      });
      hedged.end();
      this.#waiting.shift()?.();
    };
    const send = (instance: number) => {
      const isFirst = attempts.length === 0;
      const sentAtMs = this.#nowMs;
      const attempt = {instance, isFirst, sentAtMs, isOver: false};
      attempts.push(attempt);
      excluded.add(String(instance));
      this.#running[instance] = (this.#running[instance] ?? 0) + 1;
      const factor = 1 + WORK_SPREAD * (2 * this.#random.next() - 1);
      this.#at(this.#nowMs + workMs(instance) * factor, () => {
        if (!attempt.isOver) onAnswer(attempt);
      });
    };
    const onSlow = () => {
      if (isAnswered) return;
      if (this.#hedge(hedged, excluded, send)) return;
      const {pauseMs} = hedged;
      if (pauseMs < Infinity) this.#at(this.#nowMs + pauseMs, onSlow);
    };
    this.#policy.countRequest(SERVICE);
    this.sentAtMs.push(this.#nowMs);
    send(first);
    this.#at(this.#nowMs + hedged.slowAfterMs(GATE_LATE_AFTER_MS), onSlow);
  }

  #hedge(
    hedged: HedgedRequest,
    excluded: ReadonlySet<string>,
    send: (instance: number) => void,
  ): boolean {
    const token = hedged.reserve(excluded);
    if (!token) return false;
    const refuse = (reason: HedgeRefusal) => {
      token.release();
      hedged.refuse(reason);
      return false;
    };
    const instance = this.#freeInstance(excluded);
    if (instance === undefined) return refuse('full');
    this.budgetAsked += 1;
    if (this.isBudgetUsedUp) {
      this.#policy.recordBudgetRefusal(SERVICE);
      return refuse('budget');
    }
    const used = this.#running.reduce((sum, count) => sum + count, 0);
    this.usedShares.push(used / (SLOTS * this.#running.length));
    this.hedgedAtMs.push(this.#nowMs);
    hedged.recordStart(token);
    send(instance);
    return true;
  }

  #hedgedRequest(): HedgedRequest {
    const {length} = this.sentAtMs;
    return new HedgedRequest(
      {
        id: `r-${length}`,
        fingerprint: '',
        route: ROUTE,
        service: SERVICE,
        deadlineAtMs: this.#nowMs + TIMEOUT_MS,
      },
      {
        policy: this.#policy,
        gates: {forService: () => this.#candidates()},
        quarantine: {isQuarantined: () => false},
        log: SILENT_LOG,
        metrics: {
          recordHedge: (_, event) => {
            if (event !== 'started') this.ends[event] += 1;
          },
          recordHedgeRefusal: (_, reason) =>
            this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1),
        },
        now: () => this.#nowMs,
      },
    );
  }

  #candidates(): readonly HedgeCandidate[] {
    return this.#running.map((running, index) => ({
      vm: String(index),
      isLocal: false,
      isSameDomain: true,
      outstanding: 0,
      backend: {
        instance: String(index),
        service: SERVICE,
        state: 'ready',
        slots: SLOTS,
        isCold: false,
        trust: 'clear',
        running,
        waiting: 0,
      },
    }));
  }

  /** The least loaded instance with a free slot; random among equal ones. */
  #freeInstance(excluded: ReadonlySet<string>): number | undefined {
    const [best] = this.#running
      .map((running, index) => ({index, load: running + this.#random.next()}))
      .filter(({index, load}) => load < SLOTS && !excluded.has(String(index)))
      .toSorted((a, b) => a.load - b.load);
    return best?.index;
  }
}

function outcomeOf(isAnswer: boolean): Outcome {
  const instance = '';
  return isAnswer
    ? {kind: 'answered', instance, status: 200, headers: [], body: Buffer.of()}
    : {kind: 'unknown', instance, reason: 'cancelled'};
}
