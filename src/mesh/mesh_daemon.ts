/**
 * Root of the supervisor tree of a mesh daemon: one process on each backend
 * server VM, without state that outlives it. What the fleet shares comes from
 * the store through two narrow interfaces, and from peers.
 */
import {createServer, type Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import polka from 'polka';
import {reasonOf} from '../errors/failure.js';
import {listen} from '../http/listener.js';
import type {DecisionLog} from '../log/decision_log.js';
import {ConfigurationKeeper} from './configuration/configuration_keeper.js';
import {BackendClient} from './gate/backend_client.js';
import {Gate} from './gate/gate.js';
import type {HeaderNames} from './header_names.js';
import {buildCustomerLimits} from './limits/customer_limits.js';
import {RepeatBudget} from './limits/repeat_budget.js';
import {RepeatCalls} from './limits/repeat_calls.js';
import {SharedLimits, type Limit} from './limits/shared_limits.js';
import {MeshMetrics} from './mesh_metrics.js';
import type {FleetConfiguration, Vm, VmStatus} from './model.js';
import {Peers} from './peers/peers.js';
import {PeerServer} from './peers/peer_server.js';
import {Dispatcher} from './router/dispatcher.js';
import {FrontDoor} from './router/front_door.js';
import {Gates} from './router/gates.js';
import type {MeshSettings} from './settings.js';

/** What a daemon is made from. */
export interface MeshDaemonOptions {
  readonly settings: MeshSettings;
  readonly names: HeaderNames;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
}

/** Readiness is asked each second and missed twice before callers go. */
const CALLERS_LEAVE_MS = 2300;
/** Time kept for the end of the process itself. */
const END_MARGIN_MS = 400;
const IDLE_CHECK_MS = 50;
/** Attempts to find the instance before its first heartbeat, and the pause. */
const PROBES_AT_START = 4;
const PROBE_PAUSE_MS = 400;

/** One daemon. */
export class MeshDaemon {
  readonly gate: Gate;
  readonly keeper: ConfigurationKeeper;
  readonly peers: Peers;
  readonly #options: MeshDaemonOptions;
  readonly #exchange: BackendClient;
  readonly #limits: SharedLimits;
  readonly #repeats: RepeatBudget;
  readonly #peerServer: PeerServer;
  readonly #frontDoor: FrontDoor;
  readonly #readiness: Server;
  readonly #metricsServer: Server;
  #limitsByName: ReadonlyMap<string, Limit> = new Map();
  #isStopping = false;
  /** As bound, once it listens. */
  #peersAddress: string;

  constructor(options: MeshDaemonOptions) {
    this.#options = options;
    const {settings, names, log, metrics} = options;
    const {service, address} = settings.backend;
    this.#peersAddress = settings.listen.peers;
    this.#exchange = new BackendClient(address, names);
    this.gate = new Gate({
      service,
      client: this.#exchange,
      log,
      metrics,
      onChange: () => this.#peerServer.scheduleBroadcast(),
    });
    this.keeper = new ConfigurationKeeper({
      log,
      metrics,
      onChange: configuration => this.#apply(configuration),
    });
    this.peers = new Peers({
      self: () => this.self,
      log,
      onStatus: link => void this.keeper.heard(link),
    });
    this.#limits = new SharedLimits({
      peers: this.peers,
      limitOf: name => this.#limitsByName.get(name),
      isFirstStart: settings.isFirstStart,
    });
    this.#repeats = new RepeatBudget({
      peers: this.peers,
      bounds: settings.repeats,
      isFirstStart: settings.isFirstStart,
    });
    this.#peerServer = new PeerServer({
      address: settings.listen.peers,
      gate: this.gate,
      log,
      rates: this.#limits,
      repeats: this.#repeats,
      status: () => this.#status(),
      configuration: () => this.keeper.configuration,
      onHello: vm => this.peers.upsert(vm),
    });
    const limits = this.#limits;
    const repeats = this.#repeats;
    const gates = new Gates(this.self, this.gate, this.peers);
    this.#frontDoor = new FrontDoor({
      address: settings.listen.callers,
      names,
      service,
      dispatcher: new Dispatcher({gates, repeats, log, metrics}),
      limits,
      repeatCalls: new RepeatCalls({
        repeats,
        inFlight: this.gate.inFlight,
        log,
      }),
      log,
      metrics,
      routes: () => this.keeper.table,
      isFleetKnown: () => this.peers.count() > 0,
      hasInstances: service => gates.of(service).length > 0,
    });
    this.#readiness = createServer((_, res) => {
      const isReady = this.keeper.table !== undefined && !this.#isStopping;
      res.writeHead(isReady ? 200 : 503).end();
    });
    const metricsApp = polka().get('/metrics', async (_, res) => {
      res.end(await metrics.text());
    });
    this.#metricsServer = createServer(metricsApp.handler);
  }

  /** How peers reach this daemon. */
  get self(): Vm {
    const {id, failureDomain} = this.#options.settings.vm;
    return {id, failureDomain, address: this.#peersAddress};
  }

  /** Resolves to the address for callers, with the bound port. */
  async start(): Promise<string> {
    const {settings, log} = this.#options;
    this.#peersAddress = await this.#peerServer.start();
    this.peers.start();
    this.#limits.parts.start();
    this.#repeats.start();
    const callers = await this.#frontDoor.start();
    await listen(this.#readiness, settings.listen.readiness, 'readiness');
    await listen(this.#metricsServer, settings.listen.metrics, 'metrics');
    const {vm, backend, isFirstStart} = settings;
    log.belief('daemon-started', {...vm, ...backend, isFirstStart});
    return callers;
  }

  /**
   * Stops without cutting a request: callers are told to leave, peers to use
   * other gates, and what is open is finished within the time that is given.
   */
  async stop(): Promise<void> {
    const startedAtMs = performance.now();
    const limitMs = this.#options.settings.stopTimeoutS * 1000 - END_MARGIN_MS;
    this.#isStopping = true;
    this.#options.log.belief('daemon-stopping', {limitMs});
    this.gate.stopAdmitting();
    this.#frontDoor.drain();
    await sleep(CALLERS_LEAVE_MS);
    this.#frontDoor.close();
    const isIdle = () => this.#frontDoor.open === 0 && this.gate.isIdle;
    while (!isIdle() && performance.now() - startedAtMs < limitMs) {
      await sleep(IDLE_CHECK_MS);
    }
    const open = this.#frontDoor.open;
    this.#options.log.belief('daemon-stopped', {open});
    await this.halt();
  }

  /** Ends everything at once. */
  async halt(): Promise<void> {
    this.#limits.parts.stop();
    this.#repeats.stop();
    this.peers.stop();
    this.#frontDoor.close();
    this.#readiness.close();
    this.#metricsServer.close();
    await this.#peerServer.stop();
  }

  #status(): VmStatus {
    const backend = this.gate.status;
    const isStopping = this.#isStopping;
    return {backend, isStopping, configurationVersion: this.keeper.version};
  }

  #apply(configuration: FleetConfiguration): void {
    this.#limitsByName = buildCustomerLimits(configuration);
    this.#frontDoor.limit(configuration.limits);
    this.#peerServer.scheduleBroadcast();
    if (!this.gate.status) void this.#findInstance(configuration);
  }

  /** After a restart: the next heartbeat may be more than a second away. */
  async #findInstance(configuration: FleetConfiguration): Promise<void> {
    const {service} = this.#options.settings.backend;
    const record = configuration.services.find(({name}) => name === service);
    if (!record || this.#options.settings.isFirstStart) return;
    for (let probe = 0; probe < PROBES_AT_START; probe += 1) {
      if (this.gate.status) return;
      try {
        const found = await this.#exchange.probe(record.healthPath);
        const slots = found?.slots ?? 1;
        if (found) return this.gate.adoptProbe(found.instance, slots);
      } catch (err) {
        const reason = reasonOf(err);
        this.#options.log.belief('backend-probe-failed', {service, reason});
      }
      await sleep(PROBE_PAUSE_MS);
    }
  }
}
