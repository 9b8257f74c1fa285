/**
 * Rate limiting as the router and the gate use it: each request gets a token,
 * which is spent when the request starts at a backend server.
 */
import type {Customer} from '../configuration/records.js';

/** Permission to start one request. */
export interface RateToken {
  /** The token is void after this; monotonic clock, milliseconds. */
  readonly expiresAtMs: number;
  /** Marks the token as spent as the request starts. False if void. */
  spend(): boolean;
  /** Returns the token, as the request did not start. */
  release(): void;
  /**
   * Allows another daemon to spend the token before it expires. False if void.
   * A token that is neither reclaimed nor confirmed counts as in use until it
   * expires.
   */
  delegate(): boolean;
  /** Called if the other daemon reports that the request has started. */
  confirm(): void;
  /** Called if the other daemon is certain that the request did not start. */
  reclaim(): void;
}

/** Whether a request may start. */
export type Admission =
  | {readonly admitted: true; readonly token: RateToken}
  | {
      readonly admitted: false;
      /** The customer is over its rate, or its rate is currently unknown. */
      readonly reason: 'over-rate' | 'rate-unknown';
      readonly retryAfterMs: number;
    };

/** Limits customers to their rates across the whole fleet. */
export interface RateLimiter {
  admit(customer: Customer): Promise<Admission>;
}
