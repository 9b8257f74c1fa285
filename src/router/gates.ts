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
import {mayRunTwice, type GateDoor, type Work} from '../gate/work.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import type {MemberRecord} from '../member/messages.js';
import type {PeerClocks} from '../member/peer_clocks.js';
import type {GateRecords} from './gate_records.js';
import type {RetryBudget} from './retry_budget.js';

/** Options of {@link Gates}. */
export interface GatesOptions {
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
export interface Candidate {
  readonly memberId: string;
  readonly door: GateDoor;
}

/** Returns how many slots of a member a request may use. */
type SlotsOf = (member: MemberRecord) => number;

/** Selects gates for one router, and keeps connections to remote ones. */
export class Gates {
  readonly #options: GatesOptions;
  readonly #remote = new Map<string, RemoteGate>();

  constructor(options: GatesOptions) {
    this.#options = options;
  }

  /** The next gate to try for a request; undefined if none is left. */
  next(work: Work, tried: ReadonlySet<string>): Candidate | undefined {
    const {own, membership} = this.#options;
    const {service} = work;
    const mayUseOwn = !tried.has(membership.self().id);
    if (mayUseOwn && own.room(service) > 0) return this.#own();
    if (mayUseOwn && this.#isTrial(work)) return this.#own();
    const full: SlotsOf = member => member.slots[service] ?? 0;
    const spare: SlotsOf = member => member.spareSlots?.[service] ?? 0;
    const others = this.#others(tried, 'alive');
    const other = this.#draw(others, work, full);
    if (other) return this.#remoteTo(other);
    if (mayUseOwn && own.hasSlots(service)) return this.#own();
    const sparing = this.#draw(others, work, spare);
    if (sparing) return this.#remoteTo(sparing);
    // The instances of a leaving daemon may not be announced by another daemon
    // yet, so its gate is still the last resort.
    const leaving = this.#draw(this.#others(tried, 'leaving'), work, full);
    return leaving && this.#remoteTo(leaving);
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#remote.values()].map(gate => gate.close()));
  }

  /**
   * True if this request may be a trial of an instance whose grade isn't full.
   * A trial may fail, so a second send must be safe and within the budget.
   */
  #isTrial(work: Work): boolean {
    const {own, budget} = this.#options;
    const {service} = work;
    if (!mayRunTwice(work)) return false;
    return budget.has(service) && own.isTrialDue(service);
  }

  #others(
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
  #draw(
    members: readonly MemberRecord[],
    work: Work,
    slotsOf: SlotsOf,
  ): MemberRecord | undefined {
    const {records, membership} = this.#options;
    const offering = members.filter(member => slotsOf(member) > 0);
    const welcome = offering.filter(({id}) => !records.isAvoided(id, work));
    const pool = welcome.length > 0 ? welcome : offering;
    const roomOf = (member: MemberRecord) =>
      records.room(member.id, work.service) ?? slotsOf(member);
    const {failureDomain} = membership.self();
    const nearOf = (member: MemberRecord) =>
      member.failureDomain === failureDomain ? 1 : 0;
    return drawTwo(pool).toSorted(
      (a, b) => roomOf(b) - roomOf(a) || nearOf(b) - nearOf(a),
    )[0];
  }

  #own(): Candidate {
    const {own, membership} = this.#options;
    return {memberId: membership.self().id, door: own};
  }

  #remoteTo(member: MemberRecord): Candidate {
    const {dial} = this.#options;
    const address = dial[member.peersAddress] ?? member.peersAddress;
    const known = this.#remote.get(address);
    const door = known ?? this.#connect(member, address);
    this.#remote.set(address, door);
    return {memberId: member.id, door};
  }

  #connect({id, peersAddress}: MemberRecord, address: string): RemoteGate {
    const {links, clocks, records, secret} = this.#options;
    return new RemoteGate({
      address,
      secret,
      clock: {
        read: () => clocks.read(peersAddress),
        note: reading => clocks.note(peersAddress, reading),
      },
      reserve: (work, timeoutMs) => {
        const {service, customer} = work;
        const body = {service, customer, leftMs: timeoutMs};
        return links.call(peersAddress, 'gate.reserve', body, timeoutMs);
      },
      onRoom: (service, room) => records.noteRoom(id, service, room),
      onLost: () => records.noteLost(id),
    });
  }
}

/** Two different items at random, or all if there are fewer. */
function drawTwo<Item>(items: readonly Item[]): readonly Item[] {
  if (items.length <= 2) return items;
  const first = Math.floor(Math.random() * items.length);
  const step = 1 + Math.floor(Math.random() * (items.length - 1));
  const second = (first + step) % items.length;
  return [first, second]
    .map(index => items[index])
    .filter(item => item !== undefined);
}
