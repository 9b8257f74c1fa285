/**
 * A gate whose backend server makes calls while it runs requests of two
 * routes. Counts the calls that are charged as repeats. The test ends each
 * request; nothing depends on a network or on time.
 */
import {Gate} from '../../src/mesh/gate/gate.js';
import type {Outcome, Work} from '../../src/mesh/gate/work.js';
import {RepeatCalls} from '../../src/mesh/limits/repeat_calls.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {SILENT_LOG} from './silent_log.js';

const SERVICE = 'ledger';
const CALLED_SERVICE = 'limits';
const INSTANCE = 'i-1';
const SLOTS = 10;

/** A request that runs until the test ends it. */
export interface RunningRequest {
  end(): Promise<void>;
}

/** The gate with its backend server, and the count of charged calls. */
export class CallingBackend {
  /** Number of calls that were charged as calls of repeats. */
  chargedCalls = 0;
  readonly #finishByRequestId = new Map<string, (outcome: Outcome) => void>();
  readonly #gate: Gate;
  readonly #calls: RepeatCalls;
  #started = 0;

  constructor() {
    const run = (work: Work) =>
      new Promise<Outcome>(resolve => {
        this.#finishByRequestId.set(work.requestId, resolve);
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
    const chargeCall = (service: string) => {
      if (service === CALLED_SERVICE) this.chargedCalls += 1;
    };
    this.#calls = new RepeatCalls({
      repeats: {chargeCall},
      inFlight: this.#gate.inFlight,
      log: SILENT_LOG,
    });
  }

  /** Starts a request to a route; it runs until the test ends it. */
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

  /** Makes the backend server call another service. */
  call(): void {
    this.#calls.chargeIfRepeat('call', CALLED_SERVICE);
  }

  async #end(requestId: string, outcome: Promise<unknown>): Promise<void> {
    this.#finishByRequestId.get(requestId)?.({
      kind: 'answered',
      instance: INSTANCE,
      status: 200,
      headers: [],
      body: Buffer.alloc(0),
    });
    await outcome;
  }
}
