/** Messages about idempotency keys, from routers to the holders of a key. */
import type {Exchange} from '../wire/messages.js';

/** What is known of the request that a key first came with. */
export type FirstRun = 'running' | 'finished' | 'unknown';

/** The answer of one holder to a claim. */
export type ClaimAnswer =
  | {
      /** Nothing was known of the key; it is recorded as running now. */
      readonly answer: 'fresh';
      /**
       * Zero if this holder remembers all of the retention time, else the
       * time until it does, in milliseconds.
       */
      readonly forgetfulMs: number;
    }
  | {readonly answer: 'seen'; readonly first: FirstRun};

/** How the attempt that holds a claim ended. */
export type Settlement = 'released' | 'finished' | 'unknown';

/** Kinds of messages about idempotency keys. */
export interface IdempotencyMessages {
  /** Claims a key for one attempt. */
  readonly 'idempotency.claim': Exchange<
    {readonly name: string; readonly attempt: string},
    ClaimAnswer
  >;
  /** Asks whether the claim of an attempt still stands. */
  readonly 'idempotency.confirm': Exchange<
    {readonly name: string; readonly attempt: string},
    {readonly holds: boolean}
  >;
  /** Tells what became of the attempt. */
  readonly 'idempotency.settle': Exchange<
    {
      readonly name: string;
      readonly attempt: string;
      readonly settlement: Settlement;
    },
    {readonly known: boolean}
  >;
}
