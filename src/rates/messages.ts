/** Messages between borrowers and holders of customers' rates. */
import type {Exchange} from '../wire/messages.js';

/** Cumulative amounts spent and returned of a loan; they only increase. */
export interface Settlement {
  readonly loan: string;
  readonly spentMicros: number;
  readonly returnedMicros: number;
}

/** A borrower's request for a loan. */
export interface DrawRequest {
  readonly customer: string;
  /** Id of the loan; unique for each request. */
  readonly loan: string;
  readonly wantedMicros: number;
  readonly settlements: readonly Settlement[];
}

/** A holder's reply to a draw. */
export interface DrawReply {
  /** False if the daemon is not a holder or cannot be sure that it is. */
  readonly grants: boolean;
  readonly grantedMicros: number;
  /** Balance of the holder after the grant. */
  readonly balanceMicros: number;
  /** Rate of the holder's share, in micro-tokens per second. */
  readonly rateMicros: number;
}

/** Message kinds of the escrow. */
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
