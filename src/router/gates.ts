/** Which gate a request goes to: this VM's while it has room, else another. */
import type {Gate} from '../gate/gate.js';
import {RemoteGate} from '../gate/remote_gate.js';
import type {GateDoor} from '../gate/work.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import type {MemberRecord} from '../member/messages.js';
import type {PeerClocks} from '../member/peer_clocks.js';

/** Options of {@link Gates}. */
export interface GatesOptions {
  readonly own: Gate;
  readonly membership: Membership;
  readonly links: Links;
  readonly clocks: PeerClocks;
  readonly secret: string;
  /** Rewrites an advertised address before it is dialled. */
  readonly dial: Readonly<Record<string, string>>;
}

/** A gate that a request may go to. */
export interface Candidate {
  readonly memberId: string;
  readonly door: GateDoor;
}

/** The gates of the fleet as one router sees them. */
export class Gates {
  readonly #options: GatesOptions;
  readonly #remote = new Map<string, RemoteGate>();
  #turn = 0;

  constructor(options: GatesOptions) {
    this.#options = options;
  }

  /** The next gate to try for a service, `undefined` if none is left. */
  next(service: string, tried: ReadonlySet<string>): Candidate | undefined {
    const {own, membership} = this.#options;
    const self = membership.self().id;
    if (!tried.has(self) && own.room(service) > 0) {
      return {memberId: self, door: own};
    }
    const others = membership
      .members()
      .filter(member => member.id !== self && !tried.has(member.id))
      .filter(member => member.state === 'alive')
      .filter(member => (member.slots[service] ?? 0) > 0);
    this.#turn += 1;
    const other = others[this.#turn % Math.max(1, others.length)];
    if (other) return {memberId: other.id, door: this.#remoteTo(other)};
    if (tried.has(self) || own.instances.inService(service).length === 0) {
      return undefined;
    }
    return {memberId: self, door: own};
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#remote.values()].map(gate => gate.close()));
  }

  #remoteTo(member: MemberRecord): RemoteGate {
    const {dial, links, clocks, secret} = this.#options;
    const address = dial[member.peersAddress] ?? member.peersAddress;
    const known = this.#remote.get(address);
    if (known) return known;
    const gate = new RemoteGate({
      address,
      secret,
      clock: {
        read: () => clocks.read(member.peersAddress),
        note: reading => clocks.note(member.peersAddress, reading),
      },
      reserve: (work, timeoutMs) => {
        const {service, customer} = work;
        const body = {service, customer, leftMs: timeoutMs};
        const {peersAddress} = member;
        return links.call(peersAddress, 'gate.reserve', body, timeoutMs);
      },
    });
    this.#remote.set(address, gate);
    return gate;
  }
}
