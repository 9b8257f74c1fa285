/**
 * A gate whose backend server makes calls while it runs requests of two
 * routes, and the count of the calls that are charged as repeats. Requests end
 * when the test says so; no network and no time.
 */
import {Gate} from '../../src/mesh/gate/gate.js';
import type {Outcome, Work} from '../../src/mesh/gate/work.js';
import {RepeatCalls} from '../../src/mesh/limits/repeat_calls.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {SILENT_LOG} from './silent_log.js';

const SERVICE = 'ledger';
const CALLED = 'limits';
const INSTANCE = 'i-1';
const SLOTS = 10;

/** A request that runs until it is ended. */
export interface RunningRequest {
  end(): Promise<void>;
}

/** The gate, its backend server, and what is charged. */
export class CallingBackend {
  /** Calls that were charged as calls of repeats. */
  charged = 0;
  readonly #ends = new Map<string, (outcome: Outcome) => void>();
  readonly #gate: Gate;
  readonly #calls: RepeatCalls;
  #started = 0;

  constructor() {
    const run = (work: Work) =>
      new Promise<Outcome>(resolve => {
        this.#ends.set(work.requestId, resolve);
      });
    this.#gate = new Gate({
      service: SERVICE,
      client: {run},
      log: SILENT_LOG,
      metrics: new MeshMetrics(),
      onChange: () => undefined,
    });
    this.#gate.applyHeartbeat({
      instance: INSTANCE,
      service: SERVICE,
      state: 'ready',
      slots: SLOTS,
      coldForMs: 0,
      startedAtUnixMs: 1,
      sequence: 1,
    });
    const spend = (service: string) => {
      if (service === CALLED) this.charged += 1;
    };
    this.#calls = new RepeatCalls({
      repeats: {spend},
      runs: this.#gate.inFlight,
      log: SILENT_LOG,
    });
  }

  /** Starts a request of a route; it runs until it is ended. */
  async start(route: string, isRepeat: boolean): Promise<RunningRequest> {
    const requestId = `r-${(this.#started += 1)}`;
    const {signal} = new AbortController();
    const reserved = await this.#gate.reserve(
      {
        requestId,
        service: SERVICE,
        route,
        priority: 1,
        objectiveMs: 1000,
        leftMs: 0,
        assurance: 'none',
      },
      signal,
    );
    if (reserved.kind !== 'reserved') throw new Error(reserved.reason);
    const outcome = reserved.run(
      {
        requestId,
        method: 'GET',
        path: '/',
        headers: [],
        body: Buffer.alloc(0),
        leftMs: 1000,
        isRepeat,
      },
      signal,
    );
    return {end: () => this.#end(requestId, outcome)};
  }

  /** The backend server calls another service. */
  call(): void {
    this.#calls.called('call', CALLED);
  }

  async #end(requestId: string, outcome: Promise<unknown>): Promise<void> {
    this.#ends.get(requestId)?.({
      kind: 'answered',
      instance: INSTANCE,
      status: 200,
      headers: [],
      body: Buffer.alloc(0),
    });
    await outcome;
  }
}
