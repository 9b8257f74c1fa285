/**
 * Messages about idempotency keys, sent by routers to the holders of a key.
 * `name` is the hash of scope and key; `attempt` identifies one claim.
 */
import type {Exchange} from '../wire/messages.js';

/** What is known of the first request with this key. */
export type FirstRequestState = 'running' | 'finished' | 'unknown';

/** The answer of one holder to a claim. */
export type ClaimAnswer =
  | {
      /** The key wasn't recorded; it is recorded as running now. */
      readonly answer: 'fresh';
      /**
       * Zero if this holder has recorded every attempt of the retention time,
       * else the time until it will have, in milliseconds.
       */
      readonly forgetfulMs: number;
    }
  | {readonly answer: 'seen'; readonly first: FirstRequestState};

/** How the attempt that claimed the key ended. */
export type Settlement = 'released' | 'finished' | 'unknown';

/** Kinds of messages about idempotency keys. */
export interface IdempotencyMessages {
  /** Claims a key for one attempt. */
  readonly 'idempotency.claim': Exchange<
    {readonly name: string; readonly attempt: string},
    ClaimAnswer
  >;
  /** Asks whether the key is still claimed by the attempt. */
  readonly 'idempotency.confirm': Exchange<
    {readonly name: string; readonly attempt: string},
    {readonly holds: boolean}
  >;
  /** Reports how the attempt ended. */
  readonly 'idempotency.settle': Exchange<
    {
      readonly name: string;
      readonly attempt: string;
      readonly settlement: Settlement;
    },
    {readonly known: boolean}
  >;
}
