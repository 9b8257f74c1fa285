/** Registers the request handlers of a daemon's parts on its servers. */
import type {Duplex} from 'node:stream';
import polka from 'polka';
import {Administration} from '../admin/administration.js';
import {ChangeAcceptor} from '../configuration/change_acceptor.js';
import {ChangeWriter} from '../configuration/change_writer.js';
import {serveAnnouncements} from '../gate/announcements.js';
import {serveHop, serveReservations} from '../gate/hop_server.js';
import {objectivesOf} from '../report/burn.js';
import {Router} from '../router/router.js';
import type {Parts, PartsOptions} from './parts.js';
import type {Servers} from './servers.js';

/** Options of {@link connect}. */
export interface ConnectOptions extends PartsOptions {
  /** Called when an operator requests a planned stop. */
  readonly onDrain: () => void;
}

/** Registers all handlers; returns the router, which is drained on its own. */
export function connect(
  options: ConnectOptions,
  parts: Parts,
  servers: Servers,
): Router {
  const router = connectRouter(options, parts, servers);
  connectAdministration(options, parts, servers);
  serveAnnouncements(servers.instances, parts.gate.instances);
  serveReservations(parts.links, parts.gate);
  connectPeers(options.settings.peers.secret, parts, servers);
  return router;
}

function connectRouter(
  {log, metrics}: ConnectOptions,
  parts: Parts,
  servers: Servers,
): Router {
  const {keeper, freshness, limiter, gates, hedgedSender, burn, keyClaimer} =
    parts;
  const router = new Router({
    tables: () => keeper.tables(),
    areKeysFresh: () => freshness.isFresh(),
    limiter,
    gates,
    hedgedSender,
    burn,
    keyClaimer,
    log: log.for('router'),
    metrics,
  });
  const app = polka({onNoMatch: (req, res) => router.handle(req, res)});
  servers.callers.on('request', app.handler);
  return router;
}

function connectAdministration(
  {settings, log, onDrain}: ConnectOptions,
  parts: Parts,
  servers: Servers,
): void {
  const {keeper, watcher, spread, freshness, membership, store} = parts;
  const {generations, vouches} = parts.authority;
  const writer = new ChangeWriter(store, () => keeper.state());
  const acceptance = new ChangeAcceptor({
    writer,
    configuration: keeper,
    gossip: spread,
    vouches,
    log: log.for('configuration'),
  });
  new Administration({
    server: servers.administration,
    credentials: settings.administration.credentials,
    keeper,
    acceptance,
    membership,
    store,
    log: log.for('administration'),
    isReady: () => keeper.tables().revision > 0 && freshness.isFresh(),
    status: {
      generation: () => generations.current()?.number ?? 0,
      generationMembers: () =>
        generations.current()?.members.map(member => member.id) ?? [],
      generationInForce: () => generations.isInForce(),
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

/**
 * Other routers send callers' requests as HTTP requests; all other messages
 * between daemons use websockets.
 */
function connectPeers(secret: string, parts: Parts, servers: Servers): void {
  servers.peers.on('request', (req, res) => {
    serveHop(parts.gate, secret, req, res).catch(() => res.destroy());
  });
  servers.peers.on('upgrade', (req, socket: Duplex, head) => {
    if (req.headers.authorization !== `Bearer ${secret}`) {
      socket.destroy();
      return;
    }
    parts.links.accept(req, socket, head);
  });
}
