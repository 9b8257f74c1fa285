/**
 * All other daemons that are known to this one: those in the registry in the
 * store, and those that connected to it. Each has a link with its own task. A
 * daemon that has neither been listed nor heard from for a while is removed.
 */
import type {DecisionLog} from '../../log/decision_log.js';
import type {PartPayment} from '../limits/rate_parts.js';
import type {BudgetPeers, RepeatPayment} from '../limits/repeat_budget.js';
import type {
  LimitPeers,
  TokenAnswer,
  TokenRequest,
} from '../limits/shared_limits.js';
import type {Vm} from '../model.js';
import type {MeshMetrics} from '../mesh_metrics.js';
import {HandshakeQueue} from './handshake_queue.js';
import {
  LINK_STATES,
  PeerLink,
  SILENCE_CHECK_INTERVAL_MS,
  type LinkState,
  type PeerLinkOptions,
} from './peer_link.js';

/** Options of {@link Peers}. */
export interface PeersOptions {
  /** How others reach this daemon, once it listens. */
  readonly self: () => Vm;
  readonly log: DecisionLog;
  readonly metrics: MeshMetrics;
  readonly onStatus: (link: PeerLink) => void;
  readonly onFingerprints: PeerLinkOptions['onFingerprints'];
  /** For large bodies. */
  readonly memory?: PeerLinkOptions['memory'];
}

/** An unreachable peer is removed after this time, unless it is listed. */
const FORGET_AFTER_MS = 15_000;

interface KnownPeer {
  readonly link: PeerLink;
  listedAtMs: number;
}

/** The links to all peers. */
export class Peers implements LimitPeers, BudgetPeers {
  readonly #options: PeersOptions;
  readonly #knownPeers = new Map<string, KnownPeer>();
  readonly #handshakes = new HandshakeQueue();

  #silenceCheck: NodeJS.Timeout | undefined;
  /** Whether the list has been read since the start. */
  #hasList = false;

  constructor(options: PeersOptions) {
    this.#options = options;
    options.metrics.exportPeerLinks(() => this.linkStates());
  }

  start(): void {
    let dueAtMs = performance.now() + SILENCE_CHECK_INTERVAL_MS;
    this.#silenceCheck = setInterval(() => {
      const nowMs = performance.now();
      this.#options.metrics.recordEventLoopDelay(nowMs - dueAtMs);
      dueAtMs = nowMs + SILENCE_CHECK_INTERVAL_MS;
      this.links.forEach(link => link.checkSilence());
    }, SILENCE_CHECK_INTERVAL_MS);
  }

  get selfId(): string {
    return this.#options.self().id;
  }

  /** All links, including those to unreachable peers. */
  get links(): readonly PeerLink[] {
    return [...this.#knownPeers.values()].map(({link}) => link);
  }

  /** How many links are in each state. */
  linkStates(): Readonly<Record<LinkState, number>> {
    const states = this.links.map(({state}) => state);
    const counts = LINK_STATES.map(state => [
      state,
      states.filter(s => s === state).length,
    ]);
    return Object.fromEntries(counts) as Record<LinkState, number>;
  }

  reachable(): readonly string[] {
    return this.links.filter(link => link.isReachable).map(link => link.vm.id);
  }

  /** Number of daemons, including this one; 0 before the list is read. */
  count(): number {
    return this.#hasList ? this.#knownPeers.size + 1 : 0;
  }

  async ask(id: string, ask: TokenRequest): Promise<TokenAnswer | undefined> {
    return this.#knownPeers.get(id)?.link.requestShare(ask);
  }

  async requestRepeat(
    id: string,
    payment: RepeatPayment,
  ): Promise<boolean | undefined> {
    return this.#knownPeers.get(id)?.link.requestRepeat(payment);
  }

  payPart(id: string, payment: PartPayment): void {
    this.#knownPeers.get(id)?.link.payPart(payment);
  }

  pay(id: string, payment: RepeatPayment): void {
    this.#knownPeers.get(id)?.link.pay(payment);
  }

  /** Adds or refreshes a daemon that is listed or that connected. */
  upsert(vm: Vm): void {
    if (vm.id === this.selfId) return;
    const known = this.#knownPeers.get(vm.id);
    if (known?.link.vm.address === vm.address) {
      known.listedAtMs = performance.now();
      return;
    }
    known?.link.stop();
    const link = new PeerLink({
      ...this.#options,
      handshakes: this.#handshakes,
      peer: vm,
    });
    this.#knownPeers.set(vm.id, {link, listedAtMs: performance.now()});
    void link.run();
  }

  /** Adds a daemon that connected; a link to it is opened without delay. */
  receiveHello(vm: Vm): void {
    this.upsert(vm);
    this.#knownPeers.get(vm.id)?.link.reconnectNow();
  }

  /** Applies a full list; removes daemons neither listed nor heard from. */
  applyList(vms: readonly Vm[]): void {
    this.#hasList = true;
    vms.forEach(vm => this.upsert(vm));
    const nowMs = performance.now();
    [...this.#knownPeers.entries()]
      .filter(([, {link, listedAtMs}]) => {
        const seenAtMs = Math.max(listedAtMs, link.lastHeardAtMs);
        // After a pause of this process an open link hasn't been read yet.
        return !link.isReachable && nowMs - seenAtMs > FORGET_AFTER_MS;
      })
      .forEach(([id, {link}]) => {
        link.stop();
        this.#knownPeers.delete(id);
        this.#options.log.belief('peer-forgotten', {peer: id});
      });
  }

  stop(): void {
    clearInterval(this.#silenceCheck);
    this.links.forEach(link => link.stop());
  }
}
