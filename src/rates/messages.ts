/** Messages of the escrow of rates. */
import type {Exchange} from '../wire/messages.js';

/** What became of a loan so far; the amounts only grow. */
export interface Settlement {
  readonly loan: string;
  readonly spentMicros: number;
  readonly returnedMicros: number;
}

/** A borrower's wish. */
export interface DrawRequest {
  readonly customer: string;
  /** Unique for each ask; names the loan that it leads to. */
  readonly loan: string;
  readonly wantedMicros: number;
  readonly settlements: readonly Settlement[];
}

/** A holder's answer. */
export interface DrawReply {
  /** False if the daemon is no holder, or can't be sure that it is. */
  readonly grants: boolean;
  readonly grantedMicros: number;
  /** What is left at the holder. */
  readonly balanceMicros: number;
  /** Micro-tokens per second that the holder gains. */
  readonly rateMicros: number;
}

/** Kinds of messages of the escrow. */
export interface RateMessages {
  readonly 'rates.draw': Exchange<DrawRequest, DrawReply>;
  readonly 'rates.settle': Exchange<
    {
      readonly customer: string;
      readonly settlements: readonly Settlement[];
    },
    Readonly<Record<string, never>>
  >;
}
