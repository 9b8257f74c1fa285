/**
 * Tracks the newest configuration and puts it in force on this daemon. It comes
 * from the store or from a peer, whichever delivers it first, so that a daemon
 * whose requests the store rejects still gets it. A lower version never
 * replaces a higher one.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {DecisionLog} from '../../log/decision_log.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import type {FleetConfiguration} from '../model.js';
import type {PeerLink} from '../peers/peer_link.js';
import {RouteTable} from '../router/route_table.js';

export interface ConfigurationTrackerOptions {
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  readonly onChange: (configuration: FleetConfiguration) => void;
  /** Called with the evacuated domains that a peer sent, not validated. */
  readonly onPeerEvacuations?: (domains: unknown, peer: string) => void;
  /** Whether evacuated domains are still to be learnt from a peer. */
  readonly needsEvacuations?: () => boolean;
}

/**
 * Delay before a peer is asked for a newer configuration: usually the store
 * delivers it first.
 */
const PEER_FETCH_DELAY_MS = 150;
/**
 * Time until a peer is asked again for what it could not tell beside a version
 * that this daemon has: an older daemon, or one that has just started.
 */
const COMPLETION_RETRY_MS = 5000;

/** Holds the newest configuration and the route table built from it. */
export class ConfigurationTracker {
  readonly #options: ConfigurationTrackerOptions;
  #configuration: FleetConfiguration | undefined;
  #routeTable: RouteTable | undefined;
  #isFetching = false;
  /** The peer that reported a newer version most recently. */
  #newestPeer: PeerLink | undefined;
  /** When each peer was asked last, by id. */
  readonly #askedAtMs = new Map<string, number>();

  constructor(options: ConfigurationTrackerOptions) {
    this.#options = options;
  }

  get configuration(): FleetConfiguration | undefined {
    return this.#configuration;
  }

  get routeTable(): RouteTable | undefined {
    return this.#routeTable;
  }

  get version(): number {
    return this.#configuration?.version ?? 0;
  }

  /**
   * Puts a configuration in force if it is newer than the current one, or if it
   * is the same one with the fields that an older daemon left out.
   */
  applyIfNewer(configuration: FleetConfiguration, source: string): void {
    const isSame = configuration.version === this.version;
    const isCompletion =
      isSame && isComplete(configuration) && !isComplete(this.#configuration);
    if (configuration.version <= this.version && !isCompletion) return;
    const {version, routes, customers, services} = configuration;
    const previousVersion = this.version;
    this.#configuration = configuration;
    this.#routeTable = new RouteTable(configuration);
    this.#options.metrics.setConfigurationVersion(version);
    this.#options.log.belief('configuration-in-force', {
      version,
      before: previousVersion,
      source,
      routes: routes.length,
      customers: customers.length,
      services: services.length,
    });
    this.#options.onChange(configuration);
  }

  /** Fetches the configuration of a peer that reported a newer version. */
  async fetchIfNewer(link: PeerLink): Promise<void> {
    if (!this.#isBehind(link)) return;
    this.#newestPeer = link;
    if (this.#isFetching) return;
    this.#isFetching = true;
    // While this peer is asked, another one may report a still newer version.
    while (
      this.#isBehind(this.#newestPeer) &&
      (await this.#fetch(this.#newestPeer))
    );
    this.#isFetching = false;
  }

  /** Resolves to false if the peer did not answer. */
  async #fetch(link: PeerLink): Promise<boolean> {
    await sleep(PEER_FETCH_DELAY_MS);
    if (!this.#isBehind(link)) return true;
    this.#askedAtMs.set(link.vm.id, performance.now());
    const newer = await link.fetchConfiguration();
    if (!newer) return false;
    this.#options.onPeerEvacuations?.(newer.evacuated, link.vm.id);
    this.applyIfNewer(newer.configuration, link.vm.id);
    return true;
  }

  #isBehind(link: PeerLink): boolean {
    const version = link.status?.configurationVersion ?? 0;
    if (version === 0 || version !== this.version) {
      return version > this.version;
    }
    const askedAtMs = this.#askedAtMs.get(link.vm.id) ?? -Infinity;
    const isDue = performance.now() - askedAtMs >= COMPLETION_RETRY_MS;
    return isDue && this.#isIncomplete;
  }

  /** Whether a peer with the same version may know more. */
  get #isIncomplete(): boolean {
    const {needsEvacuations} = this.#options;
    return (needsEvacuations?.() ?? false) || !isComplete(this.#configuration);
  }
}

/**
 * Whether a configuration has the fields that daemons without cold pacing don't
 * pass on.
 */
function isComplete(configuration: FleetConfiguration | undefined): boolean {
  const services = configuration?.services ?? [];
  return services.every(
    ({warmupMs, coldPerS}) => warmupMs !== undefined && coldPerS !== undefined,
  );
}
