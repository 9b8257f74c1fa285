/**
 * Selects the gate that a request is sent to: the gate of this VM while it has
 * room (free slots minus queued requests), since that saves a hop; otherwise
 * the one with more room of two others picked at random (power of two
 * choices), so that many routers with outdated reports don't all select the
 * same gate. Gates that recently refused a request or didn't respond are
 * avoided while there are others.
 */
import type {Gate} from '../gate/gate.js';
import {RemoteGate} from '../gate/remote_gate.js';
import {mayRunTwice, type GateClient, type Work} from '../gate/work.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import type {MemberRecord} from '../member/messages.js';
import type {PeerClocks} from '../member/peer_clocks.js';
import type {GateRecords} from './gate_records.js';
import type {RetryBudget} from './retry_budget.js';

/** Options of {@link GateSelector}. */
export interface GateSelectorOptions {
  readonly own: Gate;
  readonly membership: Membership;
  readonly links: Links;
  readonly clocks: PeerClocks;
  readonly records: GateRecords;
  readonly budget: RetryBudget;
  readonly secret: string;
  /** Replacements for advertised addresses when connecting. */
  readonly dial: Readonly<Record<string, string>>;
}

/** A gate that a request may be sent to. */
export interface GateCandidate {
  readonly memberId: string;
  readonly gate: GateClient;
}

/** Returns how many slots of a member a request may use. */
type CountSlots = (member: MemberRecord) => number;

/** Selects gates for one router, and keeps connections to remote ones. */
export class GateSelector {
  readonly #options: GateSelectorOptions;
  readonly #remoteGates = new Map<string, RemoteGate>();

  constructor(options: GateSelectorOptions) {
    this.#options = options;
  }

  /** The next gate to try for a request; undefined if none is left. */
  next(work: Work, tried: ReadonlySet<string>): GateCandidate | undefined {
    const {own, membership} = this.#options;
    const {service} = work;
    const mayUseOwn = !tried.has(membership.self().id);
    if (mayUseOwn && own.room(service) > 0) return this.#ownCandidate();
    if (mayUseOwn && this.#mayRunTrial(work)) return this.#ownCandidate();
    const regularSlotsOf: CountSlots = member => member.slots[service] ?? 0;
    const spareSlotsOf: CountSlots = member =>
      member.spareSlots?.[service] ?? 0;
    const others = this.#otherMembers(tried, 'alive');
    const other = this.#pickRoomier(others, work, regularSlotsOf);
    if (other) return this.#remoteCandidate(other);
    if (mayUseOwn && own.hasSlots(service)) return this.#ownCandidate();
    const withSpareSlots = this.#pickRoomier(others, work, spareSlotsOf);
    if (withSpareSlots) return this.#remoteCandidate(withSpareSlots);
    // The instances of a leaving daemon may not be known at another daemon yet,
    // so its gate is still used as the last resort.
    const leaving = this.#pickRoomier(
      this.#otherMembers(tried, 'leaving'),
      work,
      regularSlotsOf,
    );
    return leaving && this.#remoteCandidate(leaving);
  }

  async stop(): Promise<void> {
    await Promise.all(
      [...this.#remoteGates.values()].map(gate => gate.close()),
    );
  }

  /**
   * True if this request may be a trial of an instance whose grade isn't full.
   * A trial may fail, so a second send must be safe and within the budget.
   */
  #mayRunTrial(work: Work): boolean {
    const {own, budget} = this.#options;
    const {service} = work;
    if (!mayRunTwice(work)) return false;
    return budget.allowsRetry(service) && own.isTrialDue(service);
  }

  #otherMembers(
    tried: ReadonlySet<string>,
    state: MemberRecord['state'],
  ): readonly MemberRecord[] {
    const {membership} = this.#options;
    const self = membership.self().id;
    return membership
      .members()
      .filter(member => member.id !== self && !tried.has(member.id))
      .filter(member => member.state === state);
  }

  /** Picks two members at random; returns the one with more room. */
  #pickRoomier(
    members: readonly MemberRecord[],
    work: Work,
    slotsOf: CountSlots,
  ): MemberRecord | undefined {
    const {records, membership} = this.#options;
    const withSlots = members.filter(member => slotsOf(member) > 0);
    const preferred = withSlots.filter(({id}) => !records.isAvoided(id, work));
    const pool = preferred.length > 0 ? preferred : withSlots;
    const roomOf = (member: MemberRecord) =>
      records.room(member.id, work.service) ?? slotsOf(member);
    const {failureDomain} = membership.self();
    const proximityOf = (member: MemberRecord) =>
      member.failureDomain === failureDomain ? 1 : 0;
    return pickTwo(pool).toSorted(
      (a, b) => roomOf(b) - roomOf(a) || proximityOf(b) - proximityOf(a),
    )[0];
  }

  #ownCandidate(): GateCandidate {
    const {own, membership} = this.#options;
    return {memberId: membership.self().id, gate: own};
  }

  #remoteCandidate(member: MemberRecord): GateCandidate {
    const {dial} = this.#options;
    const address = dial[member.peersAddress] ?? member.peersAddress;
    const known = this.#remoteGates.get(address);
    const gate = known ?? this.#connect(member, address);
    this.#remoteGates.set(address, gate);
    return {memberId: member.id, gate};
  }

  #connect({id, peersAddress}: MemberRecord, address: string): RemoteGate {
    const {links, clocks, records, secret} = this.#options;
    return new RemoteGate({
      address,
      secret,
      clock: {
        read: () => clocks.read(peersAddress),
        record: reading => clocks.store(peersAddress, reading),
      },
      reserve: (work, timeoutMs) => {
        const {service, customer} = work;
        const body = {service, customer, leftMs: timeoutMs};
        return links.call(peersAddress, 'gate.reserve', body, timeoutMs);
      },
      onRoom: (service, room) => records.recordRoom(id, service, room),
      onConnectionLost: () => records.recordConnectionLost(id),
    });
  }
}

/** Two different items at random, or all if there are fewer. */
function pickTwo<Item>(items: readonly Item[]): readonly Item[] {
  if (items.length <= 2) return items;
  const first = Math.floor(Math.random() * items.length);
  const step = 1 + Math.floor(Math.random() * (items.length - 1));
  const second = (first + step) % items.length;
  return [first, second]
    .map(index => items[index])
    .filter(item => item !== undefined);
}
