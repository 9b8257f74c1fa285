/**
 * The root of the supervisor tree: creates all parts of a daemon, starts
 * them in order, and stops them in the reverse order. On a planned stop the
 * daemon first leaves the fleet, then completes all in-flight requests.
 */
import {connect, type ConnectOptions} from './connect.js';
import {createParts, type Parts} from './parts.js';
import {StateGauges} from './state_gauges.js';
import {Servers, type BoundAddresses} from './servers.js';
import type {Router} from '../router/router.js';

/** Time for other daemons to learn that this daemon is leaving. */
const LEAVE_NOTICE_MS = 1500;

/** Part of the stop timeout in which the last requests get their answers. */
const LAST_ANSWERS_MS = 500;

/** One daemon. */
export class Daemon {
  readonly #options: ConnectOptions;
  readonly #servers: Servers;
  #parts: Parts | undefined;
  #router: Router | undefined;
  #gauges: StateGauges | undefined;

  constructor(options: ConnectOptions) {
    this.#options = options;
    this.#servers = new Servers(options.settings.limits.maxHeaderBytes);
  }

  /** Starts all parts; resolves when all servers listen. */
  async start(): Promise<BoundAddresses> {
    const bound = await this.#servers.listen(this.#options.settings.listen);
    const parts = createParts(this.#options, bound);
    this.#parts = parts;
    this.#router = connect(this.#options, parts, this.#servers);
    this.#gauges = new StateGauges(parts, this.#options.metrics);
    this.#gauges.start();
    parts.membership.start();
    parts.watcher.start();
    parts.gossip.start();
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

  /** Leaves the fleet and completes all in-flight requests. */
  async stop(): Promise<void> {
    const parts = this.#parts;
    if (!parts) return;
    this.#options.log.info('Leaving.');
    parts.gate.refuseRenewals();
    const {stopTimeoutMs} = this.#options.settings.limits;
    this.#router?.drain(Math.max(0, stopTimeoutMs - LAST_ANSWERS_MS));
    parts.membership.update({state: 'leaving'});
    await new Promise(resolve => setTimeout(resolve, LEAVE_NOTICE_MS));
    await this.#servers.drainCallers();
    await parts.gate.stop();
    await parts.health.stop();
    await parts.gates.stop();
    await parts.handover.handOver();
    this.#gauges?.stop();
    parts.watcher.stop();
    parts.gossip.stop();
    parts.limiter.stop();
    parts.ledger.stop();
    parts.freshness.stop();
    parts.authority.stop();
    parts.membership.stop();
    parts.links.stop();
    await this.#servers.close();
    await parts.store.close();
    await this.#options.metrics.close();
    this.#options.log.info('Stopped.');
  }
}
