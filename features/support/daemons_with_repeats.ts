/**
 * Daemons that share the budget of repeats of one service, in virtual time and
 * without a network: who reaches whom is set by the test, and answers come at
 * once. Requests and failures come to all daemons in turn.
 */
import {PAY_MS} from '../../src/mesh/limits/payment_timer.js';
import {RepeatBudget} from '../../src/mesh/limits/repeat_budget.js';
import {Reachability} from './reachability.js';
import {RepeatWindows, REPEAT_BOUNDS} from './repeat_windows.js';
import {SeededRandom} from './seeded_random.js';

/** What goes wrong while the load comes. */
export type RepeatTrouble =
  | 'nothing happens'
  | 'asks go unanswered now and then'
  | 'half of the daemons lose each owner by turns'
  | 'a third is cut off for 12 seconds'
  | 'daemons restart one after the other'
  | 'all daemons restart at once';

/** Events a second over all daemons. */
export interface FleetLoad {
  readonly requests: number;
  readonly failed: number;
}

interface Daemon {
  readonly id: string;
  budget: RepeatBudget;
}

const SERVICE = 'documents';
const STEP_MS = 10;
const SEED = 16;

/** The daemons and what they repeated. */
export class DaemonsWithRepeats {
  readonly windows = new RepeatWindows();
  readonly #random = new SeededRandom(SEED);
  readonly #reachability: Reachability;
  readonly #daemons: readonly Daemon[];
  #nowMs = 0;

  constructor(count: number) {
    const ids = Array.from({length: count}, (_, index) => `vm-${index}`);
    this.#reachability = new Reachability(ids, () => this.#nowMs);
    this.#daemons = ids.map(id => ({id, budget: this.#budgetOf(id, true)}));
  }

  async play(
    load: FleetLoad,
    forMs: number,
    trouble: RepeatTrouble,
  ): Promise<void> {
    const endMs = this.#nowMs + forMs;
    const due = {requests: 0, failed: 0};
    for (; this.#nowMs < endMs; this.#nowMs += STEP_MS) {
      TROUBLES[trouble](this, this.#nowMs);
      if (this.#nowMs % PAY_MS === 0) this.#payAll();
      due.requests += (load.requests * STEP_MS) / 1000;
      for (; due.requests >= 1; due.requests -= 1) {
        this.#anyDaemon().budget.demand(SERVICE);
        this.windows.requested(this.#nowMs);
      }
      due.failed += (load.failed * STEP_MS) / 1000;
      for (; due.failed >= 1; due.failed -= 1) await this.#fail();
    }
  }

  /** One daemon in `share` takes the present owner as silent for a while. */
  loseOwner(share: number, forMs: number): void {
    this.#daemons
      .filter(() => this.#random.next() < share)
      .forEach(({id, budget}) => {
        this.#reachability.silence(id, budget.ownerOf(SERVICE), forMs);
      });
  }

  /** Cuts the first `share` of the daemons off from the others, or heals. */
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

  async #fail(): Promise<void> {
    const {isGranted} = await this.#anyDaemon().budget.take(SERVICE);
    if (isGranted) this.windows.repeated(this.#nowMs);
  }

  #anyDaemon(): Daemon {
    const index = Math.floor(this.#random.next() * this.#daemons.length);
    return this.#daemons[index] as Daemon;
  }

  #payAll(): void {
    this.#daemons.forEach(({budget}) => budget.payAll());
  }

  #budgetOf(id: string, isFirstStart: boolean): RepeatBudget {
    const of = (vm: string) => this.#daemons.find(other => other.id === vm);
    return new RepeatBudget({
      peers: {
        selfId: id,
        reachable: () => this.#reachability.from(id),
        count: () => this.#daemons.length,
        askRepeat: (vm, payment) =>
          Promise.resolve(of(vm)?.budget.grant(payment)),
        pay: (vm, payment) => of(vm)?.budget.receive(payment),
      },
      bounds: REPEAT_BOUNDS,
      isFirstStart,
      now: () => this.#nowMs,
    });
  }
}

type TroubleAt = (all: DaemonsWithRepeats, nowMs: number) => void;

/** What each trouble does at a moment of virtual time. */
const TROUBLES: Readonly<Record<RepeatTrouble, TroubleAt>> = {
  'nothing happens': () => undefined,
  'asks go unanswered now and then': (all, nowMs) => {
    if (nowMs % 1000 === 0) all.loseOwner(0.1, 1000);
  },
  'half of the daemons lose each owner by turns': (all, nowMs) => {
    if (nowMs % 2000 === 0) all.loseOwner(0.5, 1500);
  },
  'a third is cut off for 12 seconds': (all, nowMs) => {
    if (nowMs === 10_000) all.cutOff(1 / 3);
    if (nowMs === 22_000) all.cutOff(0);
  },
  'daemons restart one after the other': (all, nowMs) => {
    if (nowMs % 500 === 0) all.restart(nowMs / 500);
  },
  'all daemons restart at once': (all, nowMs) => {
    if (nowMs === 15_000) all.restartAll();
  },
};
