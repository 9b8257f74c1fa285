/**
 * A gate in virtual time: the queue, the places and the wait estimate of the
 * daemon, in front of an instance whose hold times the test chooses.
 */
import {FairQueue, type Place} from '../../src/mesh/gate/fair_queue.js';
import {HoldTimes} from '../../src/mesh/gate/hold_times.js';
import {
  createPlace,
  type CustomerShares,
} from '../../src/mesh/gate/queue_place.js';
import {estimateWaitMs} from '../../src/mesh/gate/wait_estimate.js';

/** A request of the load. */
export interface Arrival {
  readonly atMs: number;
  readonly customer?: string;
  readonly priority?: number;
  readonly route?: string;
  readonly holdMs: number;
  readonly queueTimeoutMs: number;
}

/** What became of a request. */
export interface Ended {
  readonly arrival: Arrival;
  readonly result: 'slot' | 'refused' | 'timeout';
  readonly waitedMs: number;
  readonly expectedMs: number;
  readonly endedAtMs: number;
}

export interface SimulatedGateOptions {
  readonly slots: number;
  readonly customerShares: CustomerShares;
  /** Whether requests are refused by the estimate; true if omitted. */
  readonly refuses?: boolean;
  /** Mean hold times by route that the gate has learned before. */
  readonly learnedMs?: Readonly<Record<string, number>>;
  readonly weightOf?: (customer: string) => number;
}

interface Waiting {
  readonly arrival: Arrival;
  readonly place: Place;
  readonly expectedMs: number;
}

interface Running {
  readonly route: string;
  readonly sinceMs: number;
  readonly untilMs: number;
}

const DEFAULT_ROUTE = 'route';

/** Runs one load through a gate. */
export class SimulatedGate {
  readonly ended: Ended[] = [];
  readonly #options: SimulatedGateOptions;
  readonly #queue = new FairQueue<Waiting>();
  readonly #waiting = new Set<Waiting>();
  readonly #holdTimes = new HoldTimes();
  #running: readonly Running[] = [];
  #nowMs = 0;

  constructor(options: SimulatedGateOptions) {
    this.#options = options;
    Object.entries(options.learnedMs ?? {}).forEach(([route, meanMs]) =>
      this.#holdTimes.addSample(route, meanMs),
    );
  }

  /** Runs the load until the last request has ended. */
  run(load: readonly Arrival[]): readonly Ended[] {
    load
      .toSorted((a, b) => a.atMs - b.atMs)
      .forEach(arrival => {
        this.#advance(arrival.atMs);
        this.#arrive(arrival);
      });
    this.#advance(Infinity);
    return this.ended;
  }

  /** Processes all ends and timeouts until a time, in their order. */
  #advance(untilMs: number): void {
    for (;;) {
      const endsAtMs = Math.min(...this.#running.map(r => r.untilMs));
      const [next, givesUpAtMs] = this.#nextTimeout();
      const atMs = Math.min(endsAtMs, givesUpAtMs);
      if (atMs > untilMs || atMs === Infinity) break;
      this.#nowMs = atMs;
      if (next && givesUpAtMs < endsAtMs) {
        this.#queue.remove(next.place);
        this.#end(next, 'timeout');
      } else this.#finishDue();
      this.#startWaiting();
    }
    if (untilMs !== Infinity) this.#nowMs = untilMs;
  }

  #nextTimeout(): readonly [Waiting | undefined, number] {
    return [...this.#waiting].reduce<readonly [Waiting | undefined, number]>(
      (best, waiting) => {
        const {atMs, queueTimeoutMs} = waiting.arrival;
        const givesUpAtMs = atMs + queueTimeoutMs;
        return givesUpAtMs < best[1] ? [waiting, givesUpAtMs] : best;
      },
      [undefined, Infinity],
    );
  }

  #finishDue(): void {
    const isDue = ({untilMs}: Running) => untilMs <= this.#nowMs;
    this.#running
      .filter(isDue)
      .forEach(({route, sinceMs}) =>
        this.#holdTimes.addSample(route, this.#nowMs - sinceMs),
      );
    this.#running = this.#running.filter(running => !isDue(running));
  }

  #arrive(arrival: Arrival): void {
    const {customerShares, refuses = true, weightOf} = this.#options;
    const {route = DEFAULT_ROUTE, priority = 0} = arrival;
    const costMs = this.#holdTimes.meanMs(route);
    const place = createPlace(
      {...arrival, priority},
      {customerShares, weightOf, costMs, nowMs: this.#nowMs},
    );
    const expectedMs = this.#expectedWaitMs(place);
    const waiting = {arrival, place, expectedMs};
    if (refuses && expectedMs > arrival.queueTimeoutMs) {
      return this.#end(waiting, 'refused');
    }
    this.#waiting.add(waiting);
    this.#queue.add(waiting, place);
    this.#startWaiting();
  }

  #expectedWaitMs(place: Place): number {
    return estimateWaitMs({
      slots: this.#options.slots,
      running: this.#running.map(({route, sinceMs}) => ({
        meanMs: this.#holdTimes.meanMs(route),
        heldMs: this.#nowMs - sinceMs,
      })),
      aheadMs: this.#queue.ahead(place).map(({costMs}) => costMs),
    });
  }

  #startWaiting(): void {
    while (this.#running.length < this.#options.slots) {
      const next = this.#queue.take();
      if (!next) return;
      const {route = DEFAULT_ROUTE, holdMs} = next.arrival;
      const sinceMs = this.#nowMs;
      const running = {route, sinceMs, untilMs: sinceMs + holdMs};
      this.#running = [...this.#running, running];
      this.#end(next, 'slot');
    }
  }

  #end(waiting: Waiting, result: Ended['result']): void {
    const {arrival, expectedMs} = waiting;
    this.#waiting.delete(waiting);
    const endedAtMs = this.#nowMs;
    const waitedMs = endedAtMs - arrival.atMs;
    this.ended.push({arrival, result, waitedMs, expectedMs, endedAtMs});
  }
}
