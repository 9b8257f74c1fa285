/** Decides the place of a request in the queue of an instance. */
import type {Place} from './fair_queue.js';

/** Whether the customers of one priority get equal shares of an instance. */
export type CustomerShares = 'equal' | 'none';

/**
 * Within a customer, the request with the least time left for waiting goes
 * first, but one that has waited this long goes before all that arrive later.
 * Without a bound, reads with a deadline of 50 s would wait behind all lookups.
 */
export const MAX_SLACK_MS = 2000;
/** A cost of zero would let a customer pass without end. */
const MIN_COST_MS = 1;

/** What a request tells about itself. */
export interface QueuedRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly queueTimeoutMs: number;
  /** Undefined: one of the group of requests without a customer. */
  readonly customer?: string;
}

/** What the gate knows beside the request. */
export interface PlaceContext {
  readonly customerShares?: CustomerShares;
  /** The weight of a customer; 1 if omitted. */
  readonly weightOf?: (customer: string) => number;
  /** Expected hold time. */
  readonly costMs: number;
  /** Monotonic clock. */
  readonly nowMs?: number;
}

/**
 * The place of a request that arrives now. Without shares, all requests of a
 * priority are one group that is served by age.
 */
export function createPlace(
  {priority, customer, queueTimeoutMs}: QueuedRequest,
  context: PlaceContext,
): Place {
  const {
    customerShares = 'none',
    weightOf,
    nowMs = performance.now(),
  } = context;
  const costMs = Math.max(MIN_COST_MS, context.costMs);
  if (customerShares === 'none') {
    return {priority, weight: 1, dueAtMs: 0, costMs};
  }
  const dueAtMs = nowMs + Math.min(MAX_SLACK_MS, queueTimeoutMs);
  const weight = customer === undefined ? 1 : (weightOf?.(customer) ?? 1);
  return {priority, customer, weight, dueAtMs, costMs};
}
