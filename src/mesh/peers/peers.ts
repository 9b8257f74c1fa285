/**
 * All other daemons that this one knows: from the registry in the store, and
 * from daemons that connected by themselves. Each has a link with a task of
 * its own. A daemon that is neither listed nor heard for a while is dropped.
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
import {PeerLink} from './peer_link.js';

/** What the peers are made from. */
export interface PeersOptions {
  /** How others reach this daemon, once it listens. */
  readonly self: () => Vm;
  readonly log: DecisionLog;
  readonly onStatus: (link: PeerLink) => void;
}

/** A peer out of reach counts as gone after this, unless it is listed. */
const FORGET_MS = 15_000;

/** How often links are looked at for silence. */
const WATCH_MS = 1000;

interface Known {
  readonly link: PeerLink;
  listedAtMs: number;
}

/** The links to all peers. */
export class Peers implements LimitPeers, BudgetPeers {
  readonly #options: PeersOptions;
  readonly #known = new Map<string, Known>();

  #watch: NodeJS.Timeout | undefined;
  /** Whether the list was read since the start. */
  #isListed = false;

  constructor(options: PeersOptions) {
    this.#options = options;
  }

  start(): void {
    this.#watch = setInterval(() => {
      this.links.forEach(link => link.endIfSilent());
    }, WATCH_MS);
  }

  get selfId(): string {
    return this.#options.self().id;
  }

  /** All links, also those out of reach. */
  get links(): readonly PeerLink[] {
    return [...this.#known.values()].map(({link}) => link);
  }

  reachable(): readonly string[] {
    return this.links.filter(link => link.isReachable).map(link => link.vm.id);
  }

  /** How many daemons there are, with this one; 0 before the list is read. */
  count(): number {
    return this.#isListed ? this.#known.size + 1 : 0;
  }

  async ask(id: string, ask: TokenRequest): Promise<TokenAnswer | undefined> {
    return this.#known.get(id)?.link.ask(ask);
  }

  async askRepeat(
    id: string,
    payment: RepeatPayment,
  ): Promise<boolean | undefined> {
    return this.#known.get(id)?.link.askRepeat(payment);
  }

  payPart(id: string, payment: PartPayment): void {
    this.#known.get(id)?.link.payPart(payment);
  }

  pay(id: string, payment: RepeatPayment): void {
    this.#known.get(id)?.link.pay(payment);
  }

  /** Takes in a daemon that is listed or that connected. */
  learn(vm: Vm): void {
    if (vm.id === this.selfId) return;
    const known = this.#known.get(vm.id);
    if (known?.link.vm.address === vm.address) {
      known.listedAtMs = performance.now();
      return;
    }
    known?.link.stop();
    const {self, log, onStatus} = this.#options;
    const link = new PeerLink({self, peer: vm, log, onStatus});
    this.#known.set(vm.id, {link, listedAtMs: performance.now()});
    void link.run();
  }

  /** Takes in a whole list, and drops who is neither listed nor heard. */
  listed(vms: readonly Vm[]): void {
    this.#isListed = true;
    vms.forEach(vm => this.learn(vm));
    const nowMs = performance.now();
    [...this.#known.entries()]
      .filter(([, {link, listedAtMs}]) => {
        const seenAtMs = Math.max(listedAtMs, link.heardAtMs);
        return nowMs - seenAtMs > FORGET_MS;
      })
      .forEach(([id, {link}]) => {
        link.stop();
        this.#known.delete(id);
        this.#options.log.belief('peer-forgotten', {peer: id});
      });
  }

  stop(): void {
    clearInterval(this.#watch);
    this.links.forEach(link => link.stop());
  }
}
