/**
 * The root of the supervisor tree: creates every part of a daemon, starts
 * them in order, and stops them in the reverse order. A planned stop leaves
 * the fleet first, then finishes every request in flight.
 */
import {createServer, type Server} from 'node:http';
import type {Duplex} from 'node:stream';
import polka from 'polka';
import {Administration} from '../admin/administration.js';
import {readFreshRevision} from '../configuration/fresh_revision.js';
import {ConfigurationKeeper} from '../configuration/keeper.js';
import {Acceptance} from '../configuration/acceptance.js';
import {KeyFreshness} from '../configuration/freshness.js';
import {Spread} from '../configuration/spread.js';
import {StoreWatcher} from '../configuration/store_watcher.js';
import {ChangeWriter} from '../configuration/writer.js';
import {serveAnnouncements} from '../gate/announcements.js';
import {Gate} from '../gate/gate.js';
import {serveHop, serveReservations} from '../gate/hop_server.js';
import {Claims} from '../idempotency/claims.js';
import {Holders} from '../idempotency/holders.js';
import {Ledger} from '../idempotency/ledger.js';
import {createCallersServer} from '../http/callers.js';
import {drainCallers} from '../http/drain.js';
import {Health} from '../health/health.js';
import {close, listen} from '../http/listener.js';
import type {Logger} from '../log/logger.js';
import {FleetAuthority} from '../member/fleet_authority.js';
import {WebSocketLinks} from '../member/links.js';
import {SwimMembership} from '../member/membership.js';
import {PeerClocks} from '../member/peer_clocks.js';
import type {Metrics} from '../metrics/metrics.js';
import {HttpStore} from '../platform/http_store.js';
import {EscrowLimiter} from '../rates/escrow.js';
import {Backups} from '../router/backups.js';
import {GateRecords} from '../router/gate_records.js';
import {objectivesOf} from '../report/burn.js';
import {BurnCounter} from '../report/counter.js';
import {Handover} from '../report/handover.js';
import {Gates} from '../router/gates.js';
import {RetryBudget} from '../router/retry_budget.js';
import {Router} from '../router/router.js';
import type {Settings} from '../settings/schema.js';

/** Addresses that a daemon listens on, with the ports it was given. */
export interface BoundAddresses {
  readonly callers: string;
  readonly administration: string;
  readonly instances: string;
  readonly peers: string;
}

/** What a daemon is made from. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Called when an operator asks for a planned stop. */
  readonly onDrain: () => void;
}

/** The parts of a running daemon. */
interface Parts {
  readonly store: HttpStore;
  readonly keeper: ConfigurationKeeper;
  readonly watcher: StoreWatcher;
  readonly spread: Spread;
  readonly freshness: KeyFreshness;
  readonly links: WebSocketLinks;
  readonly membership: SwimMembership;
  readonly authority: FleetAuthority;
  readonly limiter: EscrowLimiter;
  readonly health: Health;
  readonly gate: Gate;
  readonly gates: Gates;
  readonly backups: Backups;
  readonly burn: BurnCounter;
  readonly handover: Handover;
  readonly ledger: Ledger;
  readonly claims: Claims;
}

interface Servers {
  readonly callers: Server;
  readonly administration: Server;
  readonly instances: Server;
  readonly peers: Server;
}

/** How long others are given to learn that this daemon leaves. */
const LEAVE_PAUSE_MS = 1500;

/** One daemon. */
export class Daemon {
  readonly #options: DaemonOptions;
  readonly #servers: Servers;
  #parts: Parts | undefined;
  #router: Router | undefined;

  constructor(options: DaemonOptions) {
    this.#options = options;
    const {maxHeaderBytes} = options.settings.limits;
    const http = {maxHeaderSize: maxHeaderBytes};
    this.#servers = {
      callers: createCallersServer(maxHeaderBytes),
      administration: createServer(http),
      instances: createServer(http),
      peers: createServer({
        maxHeaderSize: maxHeaderBytes * 2,
        requestTimeout: 0,
        // Longer than peers keep idle connections, so that they close first.
        keepAliveTimeout: 30_000,
      }),
    };
  }

  /** Starts every part; resolves when the daemon listens everywhere. */
  async start(): Promise<BoundAddresses> {
    const bound = await this.#listenAll();
    const parts = this.#createParts(bound);
    this.#parts = parts;
    this.#connect(parts);
    parts.membership.start();
    parts.watcher.start();
    parts.spread.start();
    parts.freshness.start();
    parts.authority.start();
    parts.limiter.start();
    parts.gate.start();
    parts.handover.start();
    parts.health.start();
    parts.ledger.start();
    this.#options.log.info(`Listening for callers on ${bound.callers}.`);
    return bound;
  }

  /** Leaves the fleet and finishes every request in flight. */
  async stop(): Promise<void> {
    const parts = this.#parts;
    if (!parts) return;
    this.#options.log.info('Leaving.');
    parts.gate.leave();
    this.#router?.leave();
    parts.membership.update({state: 'leaving'});
    await new Promise(resolve => setTimeout(resolve, LEAVE_PAUSE_MS));
    await drainCallers(this.#servers.callers);
    await parts.gate.stop();
    await parts.health.stop();
    await parts.gates.stop();
    await parts.handover.handOver();
    parts.watcher.stop();
    parts.spread.stop();
    parts.limiter.stop();
    parts.ledger.stop();
    parts.freshness.stop();
    parts.authority.stop();
    parts.membership.stop();
    parts.links.stop();
    const {administration, instances, peers} = this.#servers;
    await Promise.all([administration, instances, peers].map(close));
    await parts.store.close();
    await this.#options.metrics.close();
    this.#options.log.info('Stopped.');
  }

  async #listenAll(): Promise<BoundAddresses> {
    const {listen: addresses} = this.#options.settings;
    const bind = (part: keyof Servers) =>
      listen(this.#servers[part], addresses[part], part);
    return {
      callers: await bind('callers'),
      administration: await bind('administration'),
      instances: await bind('instances'),
      peers: await bind('peers'),
    };
  }

  #createParts(bound: BoundAddresses): Parts {
    const {settings, log} = this.#options;
    const {dial, secret, seeds} = settings.peers;
    const store = new HttpStore(settings.store);
    const configurationLog = log.for('configuration');
    const keeper = new ConfigurationKeeper(configurationLog);
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
    const {generations, vouches} = authority;
    const limiter = new EscrowLimiter({
      self: membership.self(),
      links,
      generations,
      vouches,
      customer: id => keeper.tables().customer(id),
      log: log.for('rates'),
    });
    const shared = {keeper, membership, log: configurationLog};
    const watcher = new StoreWatcher({...shared, store, vouches});
    const spread = new Spread({...shared, links});
    const freshness = new KeyFreshness({
      vouches,
      keeper,
      onBehind: () => spread.compareNow(),
      onAhead: () => watcher.tellWitnesses(),
    });
    const health: Health = new Health({
      instances: () => gate.instances.all(),
      links,
      membership,
      generations,
      vouches,
      floorOf: service => keeper.tables().service(service)?.floor,
      onChange: () => gate.resize(),
      metrics: this.#options.metrics,
      log: log.for('health'),
    });
    const gate = new Gate({
      maxQueueMs: settings.limits.maxQueueMs,
      maxQueuePerCustomer: settings.limits.maxQueuePerCustomer,
      log: log.for('gate'),
      health,
      onSlots: ({full, spare}) =>
        membership.update({slots: full, spareSlots: spare}),
    });
    const {id, incarnation} = membership.self();
    const burn = new BurnCounter(id, incarnation);
    const handover = new Handover({
      counter: burn,
      links,
      membership,
      log: log.for('report'),
    });
    const clocks = new PeerClocks(links);
    const records = new GateRecords();
    const budget = new RetryBudget();
    const {metrics} = this.#options;
    const backups = new Backups({budget, records, metrics});
    const gates = new Gates({
      own: gate,
      membership,
      links,
      clocks,
      records,
      budget,
      secret,
      dial,
    });
    const retentionMs = settings.limits.idempotencyRetentionMs;
    const selfId = settings.daemon.id;
    const holders = new Holders({selfId, generations, retentionMs});
    generations.onChange(() => holders.refresh());
    const ledger = new Ledger(retentionMs, name => holders.heldSinceMs(name));
    const claims = new Claims({
      selfId,
      holders,
      ledger,
      links,
      isCurrent: () => {
        const vouched = vouches.current()?.generation;
        return vouched === generations.current()?.number;
      },
    });
    return {
      store,
      keeper,
      watcher,
      spread,
      freshness,
      links,
      membership,
      authority,
      limiter,
      health,
      gate,
      gates,
      backups,
      burn,
      handover,
      ledger,
      claims,
    };
  }

  /** Registers the administration API. */
  #administer(parts: Parts): void {
    const {settings, log, onDrain} = this.#options;
    const {keeper, watcher, spread, freshness, membership, store} = parts;
    const {generations, vouches} = parts.authority;
    const writer = new ChangeWriter(store, () => keeper.state());
    const acceptance = new Acceptance({
      writer,
      keeper,
      spread,
      vouches,
      log: log.for('configuration'),
    });
    new Administration({
      server: this.#servers.administration,
      credentials: settings.administration.credentials,
      keeper,
      acceptance,
      membership,
      store,
      log: log.for('administration'),
      isReady: () => keeper.tables().revision > 0,
      status: {
        generation: () => generations.current()?.number ?? 0,
        vouched: () => vouches.current() !== undefined,
        health: () => parts.health.status(),
        keysFresh: () => freshness.isFresh(),
        watchesStore: () => watcher.isWatcher(),
      },
      onDrain,
      burn: () => ({
        ...parts.handover.answer(),
        objectives: objectivesOf(keeper.tables().services()),
      }),
    });
  }

  /** Registers the parts on the servers. */
  #connect(parts: Parts): void {
    const {settings, log, metrics} = this.#options;
    const {callers, instances, peers} = this.#servers;
    this.#router = new Router({
      tables: () => parts.keeper.tables(),
      areKeysFresh: () => parts.freshness.isFresh(),
      limiter: parts.limiter,
      gates: parts.gates,
      backups: parts.backups,
      burn: parts.burn,
      claims: parts.claims,
      log: log.for('router'),
      metrics,
    });
    const app = polka({
      onNoMatch: (req, res) => this.#router?.handle(req, res),
    });
    callers.on('request', app.handler);
    this.#administer(parts);
    serveAnnouncements(instances, parts.gate.instances);
    serveReservations(parts.links, parts.gate);
    const {secret} = settings.peers;
    peers.on('request', (req, res) => {
      serveHop(parts.gate, secret, req, res).catch(() => res.destroy());
    });
    peers.on('upgrade', (req, socket: Duplex, head) => {
      if (req.headers.authorization !== `Bearer ${secret}`) {
        socket.destroy();
        return;
      }
      parts.links.accept(req, socket, head);
    });
  }
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
