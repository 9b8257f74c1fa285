/**
 * Rates split evenly over the members, each with a bucket of its own. It is
 * the plain baseline: safe only while every daemon sees the same members.
 */
import type {Customer} from '../configuration/records.js';
import type {Admission, RateLimiter} from './limiter.js';

interface Bucket {
  readonly tokens: number;
  readonly atMs: number;
}

const TOKEN_LIFETIME_MS = 5000;

/** A fixed share of each customer's rate for each member. */
export class StaticLimiter implements RateLimiter {
  readonly #memberCount: () => number;
  readonly #buckets = new Map<string, Bucket>();

  constructor(memberCount: () => number) {
    this.#memberCount = memberCount;
  }

  admit(customer: Customer): Promise<Admission> {
    const share = 1 / this.#memberCount();
    const nowMs = performance.now();
    const rate = customer.ratePerSecond * share;
    const last = this.#buckets.get(customer.id);
    const gained = last ? ((nowMs - last.atMs) / 1000) * rate : 0;
    const capacity = Math.max(1, customer.burst * share);
    const tokens = Math.min(capacity, (last?.tokens ?? capacity) + gained);
    const admitted = tokens >= 1;
    const left = admitted ? tokens - 1 : tokens;
    this.#buckets.set(customer.id, {tokens: left, atMs: nowMs});
    if (admitted) return Promise.resolve({admitted, token: makeToken(nowMs)});
    const retryAfterMs = Math.ceil(((1 - tokens) / rate) * 1000);
    return Promise.resolve({admitted, reason: 'over-rate', retryAfterMs});
  }
}

function makeToken(nowMs: number) {
  const expiresAtMs = nowMs + TOKEN_LIFETIME_MS;
  return {
    expiresAtMs,
    spend: () => performance.now() < expiresAtMs,
    giveBack: () => undefined,
    handOver: () => performance.now() < expiresAtMs,
    confirm: () => undefined,
    takeBack: () => undefined,
  };
}
