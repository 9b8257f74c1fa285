/**
 * Metrics of a daemon, exposed in the Prometheus text format.
 * docs/OPERATIONS.md lists every name.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Upper bounds; the latency objectives lie between 0.2 and 1.5 s. */
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5,
];

/** The counters, histograms and gauges of one daemon. */
export class MeshMetrics {
  readonly #registry = new Registry();
  readonly #requests = new Counter({
    name: 'chicorycourse_requests_total',
    help: 'Requests answered to callers, by route, status and reason',
    labelNames: ['route', 'status', 'reason'],
    registers: [this.#registry],
  });
  readonly #latency = new Histogram({
    name: 'chicorycourse_request_seconds',
    help: 'Time from the request of a caller to its answer',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #instance = new Histogram({
    name: 'chicorycourse_instance_seconds',
    help: 'Time that the instance of this VM took, by outcome',
    labelNames: ['route', 'outcome'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #repeats = new Counter({
    name: 'chicorycourse_repeats_total',
    help: 'Requests that were sent to a further instance, by reason',
    labelNames: ['route', 'reason'],
    registers: [this.#registry],
  });
  readonly #quarantine = new Counter({
    name: 'chicorycourse_quarantine_events_total',
    help: 'What happened to requests during which instances ended',
    labelNames: ['event'],
    registers: [this.#registry],
  });
  readonly #trust = new Counter({
    name: 'chicorycourse_backend_trust_changes_total',
    help: 'Changes of the trust in the instance of this VM',
    labelNames: ['trust'],
    registers: [this.#registry],
  });
  readonly #store = new Counter({
    name: 'chicorycourse_store_calls_total',
    help: 'Calls to the store, by operation and outcome',
    labelNames: ['operation', 'outcome'],
    registers: [this.#registry],
  });
  readonly #backendLimit = new Gauge({
    name: 'chicorycourse_backend_limit_per_second',
    help: 'Rate limit that the instance of this VM named last, if any',
    registers: [this.#registry],
  });
  readonly #version = new Gauge({
    name: 'chicorycourse_configuration_version',
    help: 'Version of the configuration in force',
    registers: [this.#registry],
  });
  readonly #storeEra = new Gauge({
    name: 'chicorycourse_store_era',
    help: 'How often the store was restored from a copy, as the store counts',
    registers: [this.#registry],
  });

  constructor() {
    // A gauge without labels starts at 0, which would be a limit.
    this.#backendLimit.remove();
    let last = performance.eventLoopUtilization();
    new Gauge({
      name: 'chicorycourse_event_loop_utilization',
      help: 'Part of the time since the last scrape in which work was done',
      registers: [this.#registry],
      collect() {
        const now = performance.eventLoopUtilization();
        this.set(performance.eventLoopUtilization(now, last).utilization);
        last = now;
      },
    });
  }

  recordAnswer(
    route: string,
    status: number,
    reason: string,
    tookMs: number,
  ): void {
    this.#requests.inc({route, status: String(status), reason});
    this.#latency.observe({route}, tookMs / 1000);
  }

  recordInstanceOutcome(route: string, outcome: string, tookMs: number): void {
    this.#instance.observe({route, outcome}, tookMs / 1000);
  }

  recordRepeat(route: string, reason: string): void {
    this.#repeats.inc({route, reason});
  }

  recordQuarantine(event: string): void {
    this.#quarantine.inc({event});
  }

  recordTrustChange(trust: string): void {
    this.#trust.inc({trust});
  }

  /** Exports the limit that the instance named; undefined: none. */
  setBackendLimit(limitPerS: number | undefined): void {
    if (limitPerS === undefined) this.#backendLimit.remove();
    else this.#backendLimit.set(limitPerS);
  }

  recordStoreCall(operation: string, outcome: string): void {
    this.#store.inc({operation, outcome});
  }

  setConfigurationVersion(version: number): void {
    this.#version.set(version);
  }

  setStoreEra(era: number): void {
    this.#storeEra.set(era);
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string> {
    return this.#registry.metrics();
  }
}
