/** Customers' rates by name, as limits that the fleet shares. */
import type {FleetConfiguration} from '../model.js';
import {rateLimitName} from '../router/caller_server.js';
import type {Limit} from './shared_limits.js';

/** All limits of a configuration. */
export function limitsOf(
  configuration: FleetConfiguration,
): ReadonlyMap<string, Limit> {
  const rates = configuration.customers
    .filter(({ratePerS}) => ratePerS > 0)
    .map(({name, ratePerS, burst}): Limit => {
      const capacity = Math.max(1, burst);
      return {name: rateLimitName(name), perS: ratePerS, capacity};
    });
  return new Map(rates.map(limit => [limit.name, limit]));
}
