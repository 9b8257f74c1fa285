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
}

/** Kinds of messages of membership. */
export interface MemberMessages {
  /** Exchanges all that both sides know. */
  readonly 'member.sync': Exchange<
    {readonly members: readonly MemberRecord[]},
    {readonly members: readonly MemberRecord[]}
  >;
}
