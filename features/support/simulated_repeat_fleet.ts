/**
 * Daemons that share the repeat budget of one service, in virtual time and
 * without a network. The test sets which daemons reach each other; answers
 * arrive immediately. Each request and failure goes to a random daemon.
 */
import {PAYMENT_INTERVAL_MS} from '../../src/mesh/limits/payment_timer.js';
import {RepeatBudget} from '../../src/mesh/limits/repeat_budget.js';
import {Reachability} from './reachability.js';
import {RepeatWindows, REPEAT_BOUNDS} from './repeat_windows.js';
import {SeededRandom} from './seeded_random.js';

/** The fault that is injected while the load runs. */
export type RepeatFault =
  | 'nothing fails'
  | 'a tenth of the daemons lose the owner each second'
  | 'half of the daemons lose the owner every 2 seconds'
  | 'a third of the daemons is cut off for 12 seconds'
  | 'daemons restart one after the other'
  | 'all daemons restart at once';

/** Events per second over all daemons. */
export interface FleetLoad {
  readonly requests: number;
  readonly failed: number;
  /** Of the requests and the failures, those of calls made by instances. */
  readonly calls?: number;
  readonly failedCalls?: number;
}

/** Repeats that were wanted and that the budget allowed. */
interface Granted {
  wanted: number;
  granted: number;
}

interface Daemon {
  readonly id: string;
  budget: RepeatBudget;
}

const SERVICE = 'documents';
const STEP_MS = 10;
const SEED = 16;

/** The daemons, and the repeats that they sent. */
export class SimulatedRepeatFleet {
  readonly windows = new RepeatWindows();
  readonly calls: Granted = {wanted: 0, granted: 0};
  readonly others: Granted = {wanted: 0, granted: 0};
  readonly #random = new SeededRandom(SEED);
  readonly #reachability: Reachability;
  readonly #daemons: readonly Daemon[];
  readonly #callReserve: number | undefined;
  #nowMs = 0;

  constructor(count: number, callReserve?: number) {
    this.#callReserve = callReserve;
    const ids = Array.from({length: count}, (_, index) => `vm-${index}`);
    this.#reachability = new Reachability(ids, () => this.#nowMs);
    this.#daemons = ids.map(id => ({id, budget: this.#budgetOf(id, true)}));
  }

  async run(load: FleetLoad, forMs: number, fault: RepeatFault): Promise<void> {
    const endMs = this.#nowMs + forMs;
    const due = {requests: 0, failed: 0};
    for (; this.#nowMs < endMs; this.#nowMs += STEP_MS) {
      FAULTS[fault](this, this.#nowMs);
      if (this.#nowMs % PAYMENT_INTERVAL_MS === 0) this.#sendPayments();
      due.requests += (load.requests * STEP_MS) / 1000;
      for (; due.requests >= 1; due.requests -= 1) {
        const isCall = this.#isCall(load.calls, load.requests);
        this.#randomDaemon().budget.countRequest(SERVICE, isCall);
        this.windows.requested(this.#nowMs);
      }
      due.failed += (load.failed * STEP_MS) / 1000;
      for (; due.failed >= 1; due.failed -= 1) {
        await this.#failRequest(this.#isCall(load.failedCalls, load.failed));
      }
    }
  }

  /** For a while, a `share` of the daemons takes the owner as unreachable. */
  loseOwner(share: number, forMs: number): void {
    this.#daemons
      .filter(() => this.#random.next() < share)
      .forEach(({id, budget}) => {
        this.#reachability.silence(id, budget.ownerOf(SERVICE), forMs);
      });
  }

  /** Cuts the first `share` of the daemons off from the others; 0 heals. */
  cutOff(share: number): void {
    this.#reachability.cutOff(Math.round(share * this.#daemons.length));
  }

  restart(index: number): void {
    const daemon = this.#daemons[index % this.#daemons.length];
    if (daemon) daemon.budget = this.#budgetOf(daemon.id, false);
  }

  restartAll(): void {
    this.#daemons.forEach((_, index) => this.restart(index));
  }

  async #failRequest(isCall: boolean): Promise<void> {
    const {budget} = this.#randomDaemon();
    const {isGranted} = await budget.take(SERVICE, {isCall});
    if (isGranted) this.windows.repeated(this.#nowMs);
    const count = isCall ? this.calls : this.others;
    count.wanted += 1;
    if (isGranted) count.granted += 1;
  }

  /** Without calls, no random number is drawn. */
  #isCall(calls: number | undefined, all: number): boolean {
    return calls !== undefined && this.#random.next() < calls / all;
  }

  #randomDaemon(): Daemon {
    const index = Math.floor(this.#random.next() * this.#daemons.length);
    return this.#daemons[index] as Daemon;
  }

  #sendPayments(): void {
    this.#daemons.forEach(({budget}) => budget.sendPayments());
  }

  #budgetOf(id: string, isFirstStart: boolean): RepeatBudget {
    const daemonOf = (vm: string) =>
      this.#daemons.find(other => other.id === vm);
    return new RepeatBudget({
      peers: {
        selfId: id,
        reachable: () => this.#reachability.from(id),
        count: () => this.#daemons.length,
        requestRepeat: (vm, payment) =>
          Promise.resolve(daemonOf(vm)?.budget.grant(payment)),
        pay: (vm, payment) => daemonOf(vm)?.budget.receivePayment(payment),
      },
      bounds: {...REPEAT_BOUNDS, callReserve: this.#callReserve},
      isFirstStart,
      now: () => this.#nowMs,
    });
  }
}

type FaultAction = (fleet: SimulatedRepeatFleet, nowMs: number) => void;

/** What each fault does at a moment of virtual time. */
const FAULTS: Readonly<Record<RepeatFault, FaultAction>> = {
  'nothing fails': () => undefined,
  'a tenth of the daemons lose the owner each second': (fleet, nowMs) => {
    if (nowMs % 1000 === 0) fleet.loseOwner(0.1, 1000);
  },
  'half of the daemons lose the owner every 2 seconds': (fleet, nowMs) => {
    if (nowMs % 2000 === 0) fleet.loseOwner(0.5, 1500);
  },
  'a third of the daemons is cut off for 12 seconds': (fleet, nowMs) => {
    if (nowMs === 10_000) fleet.cutOff(1 / 3);
    if (nowMs === 22_000) fleet.cutOff(0);
  },
  'daemons restart one after the other': (fleet, nowMs) => {
    if (nowMs % 500 === 0) fleet.restart(nowMs / 500);
  },
  'all daemons restart at once': (fleet, nowMs) => {
    if (nowMs === 15_000) fleet.restartAll();
  },
};
