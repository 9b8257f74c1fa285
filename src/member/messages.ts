/** Messages of membership, and what daemons know about each other. */
import type {Exchange} from '../wire/messages.js';

/** What one daemon tells all others about itself. */
export interface MemberRecord {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Where its peer listener is dialled, `IP:PORT`. */
  readonly peersAddress: string;
  /** Where its administration listener is dialled, `IP:PORT`. */
  readonly administrationAddress: string;
  /** Grows with each start of the process at this id. */
  readonly incarnation: number;
  /** Grows with each change of the record within an incarnation. */
  readonly version: number;
  readonly state: 'alive' | 'leaving';
  /** Slots in service behind its gate, by service. */
  readonly slots: Readonly<Record<string, number>>;
  /** Slots of instances that are used only when others are busy. */
  readonly spareSlots?: Readonly<Record<string, number>>;
}

/** What a daemon may change in its own record. */
export type MemberChange = Partial<
  Pick<MemberRecord, 'state' | 'slots' | 'spareSlots'>
>;

/** What the fleet believes of a member. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** A claim that a member failed, about one version of its record. */
export interface FailureClaim {
  readonly status: 'suspect' | 'dead';
  readonly id: string;
  readonly incarnation: number;
  readonly version: number;
}

/** A piece of news about a member. */
export type MemberUpdate =
  {readonly status: 'alive'; readonly record: MemberRecord} | FailureClaim;

/** News that travels with every message of membership. */
export interface MemberUpdates {
  readonly updates: readonly MemberUpdate[];
}

/** Kinds of messages of membership. */
export interface MemberMessages {
  /** Are you there? News goes along both ways. */
  readonly 'member.ping': Exchange<
    MemberUpdates & {readonly from: MemberRecord},
    MemberUpdates
  >;
  /** Asks a third daemon to ping the one at an address. */
  readonly 'member.pingFor': Exchange<
    {readonly address: string},
    {readonly reached: boolean}
  >;
  /** Passes news on between rounds of pings. */
  readonly 'member.news': Exchange<MemberUpdates, null>;
  /** Compares digests of all that both sides know, bucket by bucket. */
  readonly 'member.compare': Exchange<
    null,
    {readonly digests: readonly number[]}
  >;
  /** Exchanges everything in some buckets. */
  readonly 'member.exchange': Exchange<
    MemberUpdates & {readonly buckets: readonly number[]},
    MemberUpdates
  >;
}
