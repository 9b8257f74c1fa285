/**
 * Creates the parts of a daemon in groups: fleet membership, configuration,
 * the request path, idempotency keys, and the report.
 */
import {readFreshRevision} from '../configuration/fresh_revision.js';
import {KeyFreshness} from '../configuration/freshness.js';
import {LocalConfiguration} from '../configuration/local_configuration.js';
import {ConfigurationGossip} from '../configuration/gossip.js';
import {StoreWatcher} from '../configuration/store_watcher.js';
import {Gate} from '../gate/gate.js';
import {OutlierDetector} from '../health/outlier_detector.js';
import {KeyClaimer} from '../idempotency/key_claimer.js';
import {Holders} from '../idempotency/holders.js';
import {Ledger} from '../idempotency/ledger.js';
import type {Logger} from '../log/logger.js';
import {FleetAuthority} from '../member/fleet_authority.js';
import {WebSocketLinks} from '../member/links.js';
import {SwimMembership} from '../member/membership.js';
import {PeerClocks} from '../member/peer_clocks.js';
import type {Metrics} from '../metrics/metrics.js';
import {HttpStore} from '../platform/http_store.js';
import {EscrowLimiter} from '../rates/escrow.js';
import {BurnCounter} from '../report/counter.js';
import {Handover} from '../report/handover.js';
import {HedgedSender} from '../router/hedged_sender.js';
import {GateRecords} from '../router/gate_records.js';
import {GateSelector} from '../router/gate_selector.js';
import {RetryBudget} from '../router/retry_budget.js';
import type {Settings} from '../settings/schema.js';
import type {BoundAddresses} from './servers.js';

/** Options of {@link createParts}. */
export interface PartsOptions {
  readonly settings: Settings;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Membership of the fleet and access to the store. */
interface FleetParts {
  readonly store: HttpStore;
  readonly links: WebSocketLinks;
  readonly membership: SwimMembership;
  readonly authority: FleetAuthority;
}

/** The configuration and its distribution between daemons. */
interface ConfigurationParts {
  readonly keeper: LocalConfiguration;
  readonly watcher: StoreWatcher;
  readonly spread: ConfigurationGossip;
  readonly freshness: KeyFreshness;
}

/** The path of callers' requests. */
interface WorkParts {
  readonly limiter: EscrowLimiter;
  readonly health: OutlierDetector;
  readonly gate: Gate;
  readonly gates: GateSelector;
  readonly hedgedSender: HedgedSender;
}

/** Claims of idempotency keys: those this daemon makes and those it holds. */
interface ClaimParts {
  readonly ledger: Ledger;
  readonly keyClaimer: KeyClaimer;
}

/** Counts for the report. */
interface ReportParts {
  readonly burn: BurnCounter;
  readonly handover: Handover;
}

/** All parts of a daemon. */
export type Parts = FleetParts &
  ConfigurationParts &
  WorkParts &
  ClaimParts &
  ReportParts;

/** Creates all parts without starting them. */
export function createParts(
  options: PartsOptions,
  bound: BoundAddresses,
): Parts {
  const fleet = createFleetParts(options, bound);
  const configuration = createConfigurationParts(options, fleet);
  return {
    ...fleet,
    ...configuration,
    ...createWorkParts(options, fleet, configuration.keeper),
    ...createClaimParts(options, fleet),
    ...createReportParts(options, fleet),
  };
}

function createFleetParts(
  {settings, log}: PartsOptions,
  bound: BoundAddresses,
): FleetParts {
  const {dial, secret, seeds} = settings.peers;
  const store = new HttpStore(settings.store);
  const links = new WebSocketLinks({secret, dial, log: log.for('links')});
  const membership = new SwimMembership({
    self: selfRecord(settings, bound),
    seeds,
    links,
    log: log.for('member'),
  });
  const authority = new FleetAuthority({
    store,
    links,
    membership,
    log: log.for('generations'),
    readRevision: () => readFreshRevision(store),
  });
  return {store, links, membership, authority};
}

function createConfigurationParts(
  options: PartsOptions,
  {store, links, membership, authority}: FleetParts,
): ConfigurationParts {
  const log = options.log.for('configuration');
  const {vouches} = authority;
  const keeper = new LocalConfiguration(log);
  const watcher = new StoreWatcher({
    configuration: keeper,
    membership,
    log,
    store,
    vouches,
  });
  const spread = new ConfigurationGossip({
    configuration: keeper,
    membership,
    log,
    links,
  });
  const freshness = new KeyFreshness({
    vouches,
    configuration: keeper,
    onBehind: () => spread.compareNow(),
    onAhead: () => watcher.notifyWitnesses(),
  });
  return {keeper, watcher, spread, freshness};
}

function createWorkParts(
  {settings, log, metrics}: PartsOptions,
  {links, membership, authority}: FleetParts,
  keeper: LocalConfiguration,
): WorkParts {
  const {generations, vouches} = authority;
  const {dial, secret} = settings.peers;
  const limiter = new EscrowLimiter({
    self: membership.self(),
    links,
    generations,
    vouches,
    customer: id => keeper.tables().customer(id),
    log: log.for('rates'),
  });
  const health: OutlierDetector = new OutlierDetector({
    instances: () => gate.instances.all(),
    links,
    membership,
    generations,
    vouches,
    floorOf: service => keeper.tables().service(service)?.floor,
    onChange: () => gate.resize(),
    metrics,
    log: log.for('health'),
  });
  const gate = new Gate({
    maxQueueMs: settings.limits.maxQueueMs,
    maxQueuePerCustomer: settings.limits.maxQueuePerCustomer,
    log: log.for('gate'),
    health,
    onSlotCounts: ({full, spare}) =>
      membership.update({slots: full, spareSlots: spare}),
  });
  const records = new GateRecords();
  const budget = new RetryBudget();
  const gates = new GateSelector({
    own: gate,
    membership,
    links,
    clocks: new PeerClocks(links),
    records,
    budget,
    secret,
    dial,
  });
  const hedgedSender = new HedgedSender({budget, records, metrics});
  return {limiter, health, gate, gates, hedgedSender};
}

function createClaimParts(
  {settings}: PartsOptions,
  {links, authority}: FleetParts,
): ClaimParts {
  const {generations, vouches} = authority;
  const selfId = settings.daemon.id;
  const retentionMs = settings.limits.idempotencyRetentionMs;
  const holders = new Holders({selfId, generations, retentionMs});
  generations.onChange(() => holders.refresh());
  const ledger = new Ledger(retentionMs, name => holders.heldSinceMs(name));
  const keyClaimer = new KeyClaimer({
    selfId,
    holders,
    ledger,
    links,
    isGenerationCurrent: () => {
      const vouched = vouches.current()?.generation;
      return vouched === generations.current()?.number;
    },
  });
  return {ledger, keyClaimer};
}

function createReportParts(
  {log}: PartsOptions,
  {links, membership}: FleetParts,
): ReportParts {
  const {id, incarnation} = membership.self();
  const burn = new BurnCounter(id, incarnation);
  const handover = new Handover({
    counter: burn,
    links,
    membership,
    log: log.for('report'),
  });
  return {burn, handover};
}

function selfRecord(settings: Settings, bound: BoundAddresses) {
  return {
    ...settings.daemon,
    peersAddress: settings.advertise?.peers ?? bound.peers,
    administrationAddress:
      settings.advertise?.administration ?? bound.administration,
    incarnation: Date.now(),
    version: 1,
    state: 'alive' as const,
    slots: {},
  };
}
