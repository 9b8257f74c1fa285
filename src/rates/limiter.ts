/**
 * What the router and the gate need of the rates: a token for each request,
 * which is spent when the request starts at a backend server.
 */
import type {Customer} from '../configuration/records.js';

/** One request's permission to start. */
export interface RateToken {
  /** The token is void after this; monotonic clock, milliseconds. */
  readonly expiresAtMs: number;
  /** Marks the token as spent: the request starts now. False if void. */
  spend(): boolean;
  /** Gives the token back: the request did not start. */
  release(): void;
  /**
   * Lets another daemon spend it before it expires. False if void. A token
   * that is neither taken back nor confirmed counts as in use until then.
   */
  delegate(): boolean;
  /** The other daemon told that the request has started. */
  confirm(): void;
  /** The other daemon told that the request surely did not start. */
  reclaim(): void;
}

/** The answer to the wish to start a request. */
export type Admission =
  | {readonly admitted: true; readonly token: RateToken}
  | {
      readonly admitted: false;
      /** Over its rate, or the rate can't be known at the moment. */
      readonly reason: 'over-rate' | 'rate-unknown';
      readonly retryAfterMs: number;
    };

/** Keeps customers within their rates over the whole fleet. */
export interface RateLimiter {
  admit(customer: Customer): Promise<Admission>;
}
