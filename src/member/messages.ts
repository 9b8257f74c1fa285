/** Membership messages, and the records that daemons gossip. */
import type {Exchange} from '../wire/messages.js';

/** A daemon's record about itself, which it gossips to all others. */
export interface MemberRecord {
  readonly id: string;
  readonly region: string;
  readonly failureDomain: string;
  /** Address of its peer listener, `IP:PORT`. */
  readonly peersAddress: string;
  /** Address of its administration listener, `IP:PORT`. */
  readonly administrationAddress: string;
  /** Increases with each start of the daemon with this id. */
  readonly incarnation: number;
  /** Increases with each change of the record within an incarnation. */
  readonly version: number;
  readonly state: 'alive' | 'leaving';
  /** Slots (concurrent requests) in service behind its gate, by service. */
  readonly slots: Readonly<Record<string, number>>;
  /** Slots of instances that are used only while others are busy. */
  readonly spareSlots?: Readonly<Record<string, number>>;
}

/** Fields that a daemon may change in its own record. */
export type MemberChange = Partial<
  Pick<MemberRecord, 'state' | 'slots' | 'spareSlots'>
>;

/** State of a member according to the failure detector. */
export type MemberStatus = 'alive' | 'suspect' | 'dead';

/** Claim that a member failed; it names the version of the record it is for. */
export interface FailureClaim {
  readonly status: 'suspect' | 'dead';
  readonly id: string;
  readonly incarnation: number;
  readonly version: number;
}

/** An update about a member: its record, or a claim that it failed. */
export type MemberUpdate =
  {readonly status: 'alive'; readonly record: MemberRecord} | FailureClaim;

/** Updates carried by most membership messages. */
export interface MemberUpdates {
  readonly updates: readonly MemberUpdate[];
}

/** Message kinds for membership. */
export interface MemberMessages {
  /** Liveness check; updates are carried in both directions. */
  readonly 'member.ping': Exchange<
    MemberUpdates & {readonly from: MemberRecord},
    MemberUpdates
  >;
  /** Indirect ping: asks a daemon to ping the one at `address`. */
  readonly 'member.pingFor': Exchange<
    {readonly address: string},
    {readonly reached: boolean}
  >;
  /** Sends updates in between pings. */
  readonly 'member.news': Exchange<MemberUpdates, null>;
  /** Fetches the digests of a view, one per bucket. */
  readonly 'member.compare': Exchange<
    null,
    {readonly digests: readonly number[]}
  >;
  /** Exchanges all records in the given buckets. */
  readonly 'member.exchange': Exchange<
    MemberUpdates & {readonly buckets: readonly number[]},
    MemberUpdates
  >;
}
