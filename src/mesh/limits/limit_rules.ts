/**
 * The limits of a configuration by name: customers' rates, and the repeats of
 * each service as a share of its requests plus a fixed allowance.
 */
import type {FleetConfiguration} from '../model.js';
import {repeatLimit} from '../router/dispatcher.js';
import {rateLimit} from '../router/front_door.js';
import type {Limit} from './shared_limits.js';

/** Bounds that the operators state for repeats. */
export interface RepeatBounds {
  /** Repeats for each request. */
  readonly ratio: number;
  readonly windowS: number;
  /** Repeats in one window beside the ratio. */
  readonly slack: number;
}

/**
 * Part of the bounds that is used. The rest is for calls of repeats, which are
 * counted by estimate only, and for demand that is reported late.
 */
const USED_SHARE = 0.85;
/** A window may see a full bucket and what fills it meanwhile. */
const BUCKET_SHARE = 0.5;

/** All limits of a configuration. */
export function limitsOf(
  configuration: FleetConfiguration,
  bounds: RepeatBounds,
): ReadonlyMap<string, Limit> {
  const rates = configuration.customers
    .filter(({ratePerS}) => ratePerS > 0)
    .map(({name, ratePerS, burst}): Limit => {
      const capacity = Math.max(1, burst);
      return {name: rateLimit(name), perS: ratePerS, capacity, perDemand: 0};
    });
  const slack = bounds.slack * USED_SHARE;
  const repeats = configuration.services.map(({name}): Limit => ({
    name: repeatLimit(name),
    perS: (slack * (1 - BUCKET_SHARE)) / bounds.windowS,
    capacity: slack * BUCKET_SHARE,
    perDemand: bounds.ratio * USED_SHARE,
  }));
  return new Map([...rates, ...repeats].map(limit => [limit.name, limit]));
}
