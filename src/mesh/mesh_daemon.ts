/**
 * Composition root of a mesh daemon: constructs its components, connects them,
 * and starts and stops them in order. One daemon runs on each backend server VM
 * and persists no state. It gets shared fleet state (the configuration and the
 * list of VMs) from the store through two narrow interfaces, and from peers.
 */
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import polka from 'polka';
import {reasonOf} from '../errors/failure.js';
import {ConnectionGuard} from '../http/connection_guard.js';
import {listen, type ListenRetry} from '../http/listener.js';
import {ReadMeter} from '../http/read_meter.js';
import {StrictServer} from '../http/strict_server.js';
import type {DecisionLog} from '../log/decision_log.js';
import {ConfigurationTracker} from './configuration/configuration_tracker.js';
import {EvacuatedDomains} from './evacuation/evacuated_domains.js';
import {BackendClient, type ProbeResult} from './gate/backend_client.js';
import {Gate} from './gate/gate.js';
import type {HeaderNames} from './header_names.js';
import {buildCustomerWeights} from './gate/customer_weights.js';
import {
  computeCallerBounds,
  type CallerBounds,
} from './limits/caller_bounds.js';
import {buildCustomerLimits} from './limits/customer_limits.js';
import {MemoryBudget} from './limits/memory_budget.js';
import {collectGarbage, ProcessMemory} from './limits/process_memory.js';
import {ResponseMemory} from './limits/response_memory.js';
import {RepeatBudget} from './limits/repeat_budget.js';
import {RepeatCalls} from './limits/repeat_calls.js';
import {SharedLimits, type Limit} from './limits/shared_limits.js';
import {MeshMetrics} from './mesh_metrics.js';
import type {FleetConfiguration, ServiceRecord, Vm, VmStatus} from './model.js';
import {Peers} from './peers/peers.js';
import {PeerServer} from './peers/peer_server.js';
import {CallerServer} from './router/caller_server.js';
import {StopDeadline} from '../router/stop_deadline.js';
import {Dispatcher} from './router/dispatcher.js';
import {EXPLAIN_PATH, handleExplain} from './router/explanation_endpoint.js';
import {Gates} from './router/gates.js';
import {HedgePolicy} from './router/hedge_policy.js';
import {QueryOfDeathGuard} from './router/query_of_death.js';
import {RouteExplainer} from './router/route_explanation.js';
import type {RouteTable} from './router/route_table.js';
import type {MeshSettings} from './settings.js';

export interface MeshDaemonOptions {
  readonly settings: MeshSettings;
  readonly names: HeaderNames;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  /**
   * Whether no other daemon runs in this process, so that the memory of the
   * process counts as the daemon's. False if omitted.
   */
  readonly ownsProcess?: boolean;
}

/**
 * How long a stopping daemon still accepts callers, in milliseconds: they poll
 * readiness once a second and leave after two failed polls.
 */
const CALLER_DRAIN_MS = 2300;
/** Part of the stop timeout that is reserved for the exit of the process. */
const EXIT_MARGIN_MS = 400;
/** Part of that margin in which the last requests get their answers. */
const LAST_ANSWERS_MS = 200;
const IDLE_POLL_MS = 50;
/** At most this many probes look for the instance after a restart. */
const MAX_STARTUP_PROBES = 4;
const STARTUP_PROBE_PAUSE_MS = 400;

/** Where a daemon serves readiness and metrics, each `IP:PORT`. */
export type OperatorAddresses = Pick<
  MeshSettings['listen'],
  'readiness' | 'metrics'
>;

/** The daemon of one VM. */
export class MeshDaemon {
  readonly gate: Gate;
  readonly configurationTracker: ConfigurationTracker;
  readonly evacuatedDomains: EvacuatedDomains;
  readonly peers: Peers;
  readonly #options: MeshDaemonOptions;
  readonly #exchange: BackendClient;
  readonly #limits: SharedLimits;
  readonly #repeatBudget: RepeatBudget;
  readonly #quarantine: QueryOfDeathGuard;
  readonly #peerServer: PeerServer;
  readonly #callerServer: CallerServer;
  readonly #bounds: CallerBounds;
  /** One for all listeners, since they share the event loop. */
  readonly #readMeter = new ReadMeter();
  readonly #readinessServer: Server;
  readonly #metricsServer: Server;
  #limitsByName: ReadonlyMap<string, Limit> = new Map();
  #weights: ReadonlyMap<string, number> = new Map();
  readonly #stopDeadline = new StopDeadline();
  #isStopping = false;
  /** The configured address; from `start()` on it has the bound port. */
  #peersAddress: string;
  #boundAddresses: OperatorAddresses;

  constructor(options: MeshDaemonOptions) {
    this.#options = options;
    const {settings, names, log, metrics} = options;
    const {service, address} = settings.backend;
    this.#bounds = computeCallerBounds(settings);
    const {budgetBytes, maxUnfinishedBytes} = this.#bounds;
    const processMemory = new ProcessMemory({
      limitBytes: this.#bounds.memoryBytes,
      heldBytes: () => budget.usedBytes,
      collect: collectGarbage,
    });
    const budget: MemoryBudget = new MemoryBudget(budgetBytes, {
      maxUnfinishedBytes,
      hasRoom: options.ownsProcess
        ? bytes => processMemory.hasRoom(bytes)
        : undefined,
    });
    metrics.exportHeldBytes(budget);
    this.#peersAddress = settings.listen.peers;
    this.#boundAddresses = settings.listen;
    const responses = new ResponseMemory({
      budget,
      unreadAfterMs: this.#bounds.progress.stallMs,
      onCut: reason => this.#recordClose('callers', reason),
    });
    this.#exchange = new BackendClient(address, names, responses);
    this.gate = new Gate({
      service,
      client: this.#exchange,
      log,
      metrics,
      onChange: () => this.#peerServer.scheduleBroadcast(),
      customerShares: settings.scheduling.customerShares,
      weightOf: customer => this.#weights.get(customer) ?? 1,
    });
    this.configurationTracker = new ConfigurationTracker({
      log,
      metrics,
      onChange: configuration => this.#applyConfiguration(configuration),
      onPeerEvacuations: (domains, peer) =>
        this.evacuatedDomains.adoptFromPeer(domains, peer),
      needsEvacuations: () => !this.evacuatedDomains.isKnown,
    });
    this.evacuatedDomains = new EvacuatedDomains({
      isEnabled: settings.evacuation !== undefined,
      log,
      metrics,
      onChange: () => this.#applyDomainState(),
    });
    this.#quarantine = new QueryOfDeathGuard({
      isEnabled: settings.quarantinesRequests,
      log,
      metrics,
      onEvidence: record => this.#peerServer.broadcastFingerprint(record),
    });
    this.peers = new Peers({
      self: () => this.self,
      memory: {budget, responses},
      log,
      metrics,
      onStatus: link => void this.configurationTracker.fetchIfNewer(link),
      onFingerprints: records =>
        records.forEach(record => this.#quarantine.merge(record)),
    });
    this.#limits = new SharedLimits({
      peers: this.peers,
      limitOf: name => this.#limitsByName.get(name),
      isFirstStart: settings.isFirstStart,
    });
    this.#repeatBudget = new RepeatBudget({
      peers: this.peers,
      bounds: settings.repeats,
      isFirstStart: settings.isFirstStart,
    });
    this.#peerServer = new PeerServer({
      vmId: settings.vm.id,
      address: settings.listen.peers,
      gate: this.gate,
      memory: {budget, responses},
      log,
      rates: this.#limits,
      repeats: this.#repeatBudget,
      status: () => this.#status(),
      fingerprints: () => this.#quarantine.records(),
      configuration: () => this.configurationTracker.configuration,
      evacuated: () => this.evacuatedDomains.known,
      onHello: vm => this.peers.receiveHello(vm),
    });
    const limits = this.#limits;
    const repeats = this.#repeatBudget;
    const gates = new Gates(
      this.self,
      this.gate,
      this.peers,
      this.evacuatedDomains,
    );
    const dispatcher = new Dispatcher({
      gates,
      repeats,
      log,
      metrics,
      stop: this.#stopDeadline,
      customerShares: settings.scheduling.customerShares,
      hedging: settings.hedging && new HedgePolicy(settings.hedging),
      quarantine: this.#quarantine,
    });
    this.#callerServer = new CallerServer({
      address: settings.listen.callers,
      names,
      service,
      dispatcher,
      limits,
      quarantine: this.#quarantine,
      repeatCalls: new RepeatCalls({
        repeats,
        inFlight: this.gate.inFlight,
        log,
      }),
      budget,
      responses,
      guard: server =>
        this.#guard(server, 'callers', this.#bounds.maxConnections),
      log,
      metrics,
      routes: () => this.#routeTable,
      isFleetKnown: () => this.peers.count() > 0,
      hasInstances: service => gates.forService(service).length > 0,
    });
    this.#readinessServer = new StrictServer();
    this.guardOperatorListener(this.#readinessServer, 'readiness');
    this.#readinessServer.on('request', (_, res) => {
      const isReady = this.#routeTable !== undefined && !this.#isStopping;
      res.writeHead(isReady ? 200 : 503).end();
    });
    const explainer = new RouteExplainer({
      vm: settings.vm.id,
      routes: () => this.#routeTable,
      maxBodyBytes: () => this.#callerServer.maxBodyBytes,
      dispatcher,
      quarantine: this.#quarantine,
      gates,
    });
    const metricsApp = polka()
      .get('/metrics', async (_, res) => {
        res.end(await metrics.render());
      })
      .get(EXPLAIN_PATH, (req, res) => handleExplain(explainer, req, res));
    this.#metricsServer = new StrictServer();
    this.guardOperatorListener(this.#metricsServer, 'metrics');
    this.#metricsServer.on('request', metricsApp.handler);
    this.#applyDomainState();
  }

  /** This VM, with the address at which peers reach the daemon. */
  get self(): Vm {
    const {id, failureDomain} = this.#options.settings.vm;
    return {id, failureDomain, address: this.#peersAddress};
  }

  /** Addresses of the listeners for operators, with the bound ports. */
  get boundAddresses(): OperatorAddresses {
    return this.#boundAddresses;
  }

  /** Starts all components; resolves to the bound address for callers. */
  async start(): Promise<string> {
    const {settings, log} = this.#options;
    this.#peersAddress = await this.#peerServer.start();
    this.peers.start();
    this.#limits.parts.start();
    this.#repeatBudget.start();
    const {listen: addresses} = settings;
    const onRetry = (retry: ListenRetry) =>
      log.belief('listen-retried', {...retry});
    this.#boundAddresses = {
      readiness: await listen(
        this.#readinessServer,
        addresses.readiness,
        'readiness',
        {onRetry},
      ),
      metrics: await listen(this.#metricsServer, addresses.metrics, 'metrics', {
        onRetry,
      }),
    };
    // Last, since requests wait only briefly for what the daemon has to learn.
    const callers = await this.#callerServer.start();
    const {vm, backend, isFirstStart} = settings;
    log.belief('daemon-started', {...vm, ...backend, isFirstStart});
    return callers;
  }

  /**
   * Drains and stops: readiness fails and responses close their connection, so
   * that callers leave; peers stop using this gate; in-flight requests may
   * finish within the stop timeout, and are answered when it ends.
   */
  async stop(): Promise<void> {
    const startedAtMs = performance.now();
    const limitMs = this.#options.settings.stopTimeoutS * 1000 - EXIT_MARGIN_MS;
    this.#isStopping = true;
    this.#options.log.belief('daemon-stopping', {limitMs});
    this.#stopDeadline.begin(limitMs);
    this.gate.stopAdmitting();
    this.#callerServer.drain();
    await sleep(CALLER_DRAIN_MS);
    this.#callerServer.close();
    const isIdle = () =>
      this.#callerServer.openRequests === 0 && this.gate.isIdle;
    const endsAtMs = startedAtMs + limitMs + LAST_ANSWERS_MS;
    while (!isIdle() && performance.now() < endsAtMs) {
      await sleep(IDLE_POLL_MS);
    }
    const open = this.#callerServer.openRequests;
    this.#options.log.belief('daemon-stopped', {open});
    await this.halt();
  }

  /** Stops all components at once, without waiting for in-flight requests. */
  async halt(): Promise<void> {
    this.#limits.parts.stop();
    this.#repeatBudget.stop();
    this.peers.stop();
    this.#callerServer.close();
    this.#readinessServer.close();
    this.#metricsServer.close();
    await this.#peerServer.stop();
  }

  /** Bounds what the connections of a listener not for callers take. */
  guardOperatorListener(server: Server, listener: string): void {
    this.#guard(server, listener, this.#bounds.maxOtherConnections);
  }

  #guard(
    server: Server,
    listener: string,
    maxConnections: number,
  ): ConnectionGuard {
    const {progress, maxUnfinishedRequests} = this.#bounds;
    return new ConnectionGuard(server, {
      meter: this.#readMeter,
      maxConnections,
      maxUnfinished: Math.min(maxUnfinishedRequests, maxConnections),
      progress,
      onClose: reason => this.#recordClose(listener, reason),
    });
  }

  #recordClose(listener: string, reason: string): void {
    const {log, metrics} = this.#options;
    metrics.recordGuardClose(listener, reason);
    log.failure('connection-closed', {listener, reason});
  }

  #status(): VmStatus {
    const backend = this.gate.status;
    const isStopping = this.#isStopping;
    return {
      backend,
      isStopping,
      configurationVersion: this.configurationTracker.version,
    };
  }

  /** The routes, once the evacuated domains are known as well. */
  get #routeTable(): RouteTable | undefined {
    if (!this.evacuatedDomains.isKnown) return undefined;
    return this.configurationTracker.routeTable;
  }

  #applyDomainState(): void {
    const {failureDomain} = this.#options.settings.vm;
    this.gate.setDomainState(this.evacuatedDomains.stateOf(failureDomain));
  }

  #applyConfiguration(configuration: FleetConfiguration): void {
    this.#limitsByName = buildCustomerLimits(configuration);
    this.#weights = buildCustomerWeights(configuration);
    this.#callerServer.applyLimits(configuration.limits);
    this.#peerServer.scheduleBroadcast();
    this.gate.cold.configure(this.#serviceRecord(configuration));
    if (!this.gate.status) void this.#probeInstance(configuration);
  }

  /** The record of the service of this VM. */
  #serviceRecord({services}: FleetConfiguration): ServiceRecord | undefined {
    const {service} = this.#options.settings.backend;
    return services.find(({name}) => name === service);
  }

  #adoptProbe(found: ProbeResult, {coldPerS}: ServiceRecord): void {
    const {instance, slots = 1, invalidWarmup} = found;
    const coldForMs = coldPerS === 0 ? undefined : found.coldForMs;
    if (invalidWarmup !== undefined) {
      const fields = {instance, invalidWarmup};
      this.#options.log.belief('backend-warmup-invalid', fields);
    }
    this.gate.adoptProbe(instance, slots, coldForMs);
  }

  /**
   * Probes the instance after a restart of the daemon, since its next heartbeat
   * may be more than a second away.
   */
  async #probeInstance(configuration: FleetConfiguration): Promise<void> {
    const {service} = this.#options.settings.backend;
    const record = this.#serviceRecord(configuration);
    if (!record || this.#options.settings.isFirstStart) return;
    for (let probe = 0; probe < MAX_STARTUP_PROBES; probe += 1) {
      if (this.gate.status) return;
      try {
        const found = await this.#exchange.probe(record.healthPath);
        if (found) return this.#adoptProbe(found, record);
      } catch (err) {
        const reason = reasonOf(err);
        this.#options.log.belief('backend-probe-failed', {service, reason});
      }
      await sleep(STARTUP_PROBE_PAUSE_MS);
    }
  }
}
