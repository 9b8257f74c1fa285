/**
 * Metrics of a daemon, exposed in the Prometheus text format.
 * docs/OPERATIONS.md lists every name.
 */
import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {HOLDER_KINDS, type MemoryBudget} from './limits/memory_budget.js';

/** Upper bounds; the latency objectives lie between 0.2 and 1.5 s. */
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5,
];

/** From a handshake on an idle machine to one that a busy peer leaves open. */
const CONNECT_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2, 4, 8];
/** A delay over 0.15 s is longer than peers wait for a reply. */
const DELAY_BUCKETS_S = [0.01, 0.05, 0.15, 0.5, 1, 2, 4, 8];
/** The store normally answers in 4 ms; calls are given up after 1.5 s. */
const STORE_BUCKETS_S = [0.005, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 1.5];

/** From a slot that is about to be free to the longest queue timeouts. */
const QUEUE_BUCKETS_S = [0.005, 0.025, 0.1, 0.25, 0.5, 1, 2, 4, 8];

/** How an attempt to connect to a peer ended. */
export type ConnectOutcome = 'opened' | 'failed';

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
  readonly #runLimits = new Counter({
    name: 'chicorycourse_run_limits_exceeded_total',
    help: 'Runs that the gate ended because no router did at the deadline',
    labelNames: ['route'],
    registers: [this.#registry],
  });
  readonly #repeats = new Counter({
    name: 'chicorycourse_repeats_total',
    help: 'Requests that were sent to a further instance, by reason',
    labelNames: ['route', 'reason'],
    registers: [this.#registry],
  });
  readonly #repeatsOverBudget = new Counter({
    name: 'chicorycourse_repeats_over_budget_total',
    help: 'Repeats that the budget did not allow, by who sent the request',
    labelNames: ['sender'],
    registers: [this.#registry],
  });
  readonly #hedges = new Counter({
    name: 'chicorycourse_hedges_total',
    help: 'Hedged requests that were started, won and lost',
    labelNames: ['route', 'event'],
    registers: [this.#registry],
  });
  readonly #hedgeRefusals = new Counter({
    name: 'chicorycourse_hedges_refused_total',
    help: 'Slow requests that got no hedge at some time, by reason',
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
  readonly #storeSeconds = new Histogram({
    name: 'chicorycourse_store_call_seconds',
    help: 'Time that calls to the store took, except watches, by operation',
    labelNames: ['operation'],
    buckets: STORE_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #peerConnects = new Histogram({
    name: 'chicorycourse_peer_connect_seconds',
    help: 'Time that attempts to connect to a peer took, by outcome',
    labelNames: ['outcome'],
    buckets: CONNECT_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #eventLoopDelay = new Histogram({
    name: 'chicorycourse_event_loop_delay_seconds',
    help: 'How late a timer fired that is due once a second',
    buckets: DELAY_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #guardCloses = new Counter({
    name: 'chicorycourse_guard_closes_total',
    help: 'Connections closed and requests cut off for a limit, by reason',
    labelNames: ['listener', 'reason'],
    registers: [this.#registry],
  });
  readonly #backendLimit = new Gauge({
    name: 'chicorycourse_backend_limit_per_second',
    help: 'Rate limit that the instance of this VM named last, if any',
    registers: [this.#registry],
  });
  readonly #coldLimit = new Gauge({
    name: 'chicorycourse_backend_cold_limit_per_second',
    help: 'Rate at which the instance of this VM is paced as cold, if it is',
    registers: [this.#registry],
  });
  readonly #coldHolds = new Counter({
    name: 'chicorycourse_cold_holds_total',
    help: 'Requests held before a cold instance, by what became of them',
    labelNames: ['outcome'],
    registers: [this.#registry],
  });
  readonly #evacuatedDomains = new Gauge({
    name: 'chicorycourse_evacuated_domains',
    help: 'Failure domains that are evacuated, as this daemon knows',
    registers: [this.#registry],
  });
  readonly #evacuatedDeclines = new Counter({
    name: 'chicorycourse_evacuated_declines_total',
    help: 'Reservations that an evacuated gate declined, when made or used',
    labelNames: ['at'],
    registers: [this.#registry],
  });
  readonly #queueWait = new Histogram({
    name: 'chicorycourse_queue_wait_seconds',
    help: 'Time that requests waited at the gate, by priority and result',
    labelNames: ['priority', 'result'],
    buckets: QUEUE_BUCKETS_S,
    registers: [this.#registry],
  });
  readonly #queueExcess = new Counter({
    name: 'chicorycourse_queue_overestimated_total',
    help: 'Granted requests that waited less than was expected on arrival',
    labelNames: ['priority'],
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
    this.#coldLimit.remove();
    new Gauge({
      name: 'chicorycourse_resident_memory_bytes',
      help: 'Resident memory of the process',
      registers: [this.#registry],
      collect() {
        this.set(process.memoryUsage.rss());
      },
    });
    new Gauge({
      name: 'chicorycourse_active_resources',
      help: 'Open sockets, timers and other handles of the process, by type',
      labelNames: ['type'],
      registers: [this.#registry],
      collect() {
        this.reset();
        process.getActiveResourcesInfo().forEach(type => this.inc({type}));
      },
    });
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

  recordRunLimit(route: string): void {
    this.#runLimits.inc({route});
  }

  recordRepeat(route: string, reason: string): void {
    this.#repeats.inc({route, reason});
  }

  recordRepeatOverBudget(isCall: boolean): void {
    this.#repeatsOverBudget.inc({sender: isCall ? 'instance' : 'caller'});
  }

  recordHedge(route: string, event: 'started' | 'won' | 'lost'): void {
    this.#hedges.inc({route, event});
  }

  recordHedgeRefusal(route: string, reason: string): void {
    this.#hedgeRefusals.inc({route, reason});
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

  /** Exports the limit of a cold instance; undefined: it isn't paced. */
  setColdLimit(limitPerS: number | undefined): void {
    if (limitPerS === undefined) this.#coldLimit.remove();
    else this.#coldLimit.set(limitPerS);
  }

  recordColdHold(outcome: string): void {
    this.#coldHolds.inc({outcome});
  }

  setEvacuatedDomains(count: number): void {
    this.#evacuatedDomains.set(count);
  }

  recordEvacuatedDecline(at: 'reservation' | 'use'): void {
    this.#evacuatedDeclines.inc({at});
  }

  /** Exports how many links to peers are in each state. */
  exportPeerLinks(countByState: () => Readonly<Record<string, number>>): void {
    new Gauge({
      name: 'chicorycourse_peer_links',
      help: 'Links to peers, by state',
      labelNames: ['state'],
      registers: [this.#registry],
      collect() {
        Object.entries(countByState()).forEach(([state, count]) =>
          this.set({state}, count),
        );
      },
    });
  }

  /** Exports the memory budget: its limit, and the bytes held by kind. */
  exportHeldBytes(budget: MemoryBudget): void {
    new Gauge({
      name: 'chicorycourse_memory_budget_bytes',
      help: 'Limit of the bytes that others determine',
      registers: [this.#registry],
    }).set(budget.limitBytes);
    new Gauge({
      name: 'chicorycourse_held_bytes',
      help: 'Bytes in use of the memory budget, by kind of holder',
      labelNames: ['kind'],
      registers: [this.#registry],
      collect() {
        HOLDER_KINDS.forEach(kind => this.set({kind}, budget.usedBy(kind)));
      },
    });
  }

  recordGuardClose(listener: string, reason: string): void {
    this.#guardCloses.inc({listener, reason});
  }

  recordPeerConnect(outcome: ConnectOutcome, tookMs: number): void {
    this.#peerConnects.observe({outcome}, tookMs / 1000);
  }

  recordEventLoopDelay(delayMs: number): void {
    this.#eventLoopDelay.observe(Math.max(0, delayMs) / 1000);
  }

  recordStoreCall(operation: string, outcome: string, tookMs: number): void {
    this.#store.inc({operation, outcome});
    if (operation === 'watch') return;
    this.#storeSeconds.observe({operation}, tookMs / 1000);
  }

  /** `priority` is one of a bounded set of labels. */
  recordQueueWait(priority: string, result: string, waitedMs: number): void {
    this.#queueWait.observe({priority, result}, waitedMs / 1000);
  }

  recordQueueOverestimate(priority: string): void {
    this.#queueExcess.inc({priority});
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
