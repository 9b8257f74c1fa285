/**
 * The configuration in force on this daemon. It comes from the store or from
 * a peer, whichever has it first; a lower version never replaces a higher
 * one. A daemon that the store turns away so learns it from its peers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {DecisionLog} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {FleetConfiguration} from '../model.js';
import type {PeerLink} from '../peers/peer_link.js';
import {RouteTable} from '../router/route_table.js';

/** What the keeper is made from. */
export interface KeeperOptions {
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  readonly onChange: (configuration: FleetConfiguration) => void;
}

/** The store is usually first; a peer is asked if it was not. */
const STORE_LEAD_MS = 150;

/** Keeps the newest configuration. */
export class ConfigurationKeeper {
  readonly #options: KeeperOptions;
  #configuration: FleetConfiguration | undefined;
  #table: RouteTable | undefined;
  #isAsking = false;
  /** The peer that told of a newer configuration last. */
  #newest: PeerLink | undefined;

  constructor(options: KeeperOptions) {
    this.#options = options;
  }

  get configuration(): FleetConfiguration | undefined {
    return this.#configuration;
  }

  get table(): RouteTable | undefined {
    return this.#table;
  }

  get version(): number {
    return this.#configuration?.version ?? 0;
  }

  /** Puts a configuration in force if it is newer. */
  offer(configuration: FleetConfiguration, source: string): void {
    if (configuration.version <= this.version) return;
    const {version, routes, customers, services} = configuration;
    const before = this.version;
    this.#configuration = configuration;
    this.#table = new RouteTable(configuration);
    this.#options.metrics.configurationInForce(version);
    this.#options.log.belief('configuration-in-force', {
      version,
      before,
      source,
      routes: routes.length,
      customers: customers.length,
      services: services.length,
    });
    this.#options.onChange(configuration);
  }

  /** Asks a peer for its configuration if that is newer. */
  async heard(link: PeerLink): Promise<void> {
    if (!this.#isBehind(link)) return;
    this.#newest = link;
    if (this.#isAsking) return;
    this.#isAsking = true;
    // Another peer may tell of a still newer one while this one is asked.
    while (this.#isBehind(this.#newest) && (await this.#ask(this.#newest)));
    this.#isAsking = false;
  }

  /** False if the peer did not answer. */
  async #ask(link: PeerLink): Promise<boolean> {
    await sleep(STORE_LEAD_MS);
    if (!this.#isBehind(link)) return true;
    const newer = await link.fetchConfiguration();
    if (newer) this.offer(newer, link.vm.id);
    return newer !== undefined;
  }

  #isBehind(link: PeerLink): boolean {
    return (link.status?.configurationVersion ?? 0) > this.version;
  }
}
