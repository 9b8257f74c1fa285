/** Turns the customers' rates of a configuration into shared limits. */
import type {FleetConfiguration} from '../model.js';
import {rateLimitName} from '../router/caller_server.js';
import type {Limit} from './shared_limits.js';

/** All rate limits of a configuration, by name. */
export function buildCustomerLimits(
  configuration: FleetConfiguration,
): ReadonlyMap<string, Limit> {
  const rates = configuration.customers
    .filter(({ratePerS}) => ratePerS > 0)
    .map(({name, ratePerS, burst}): Limit => {
      const capacity = Math.max(1, burst);
      return {name: rateLimitName(name), tokensPerS: ratePerS, capacity};
    });
  return new Map(rates.map(limit => [limit.name, limit]));
}
