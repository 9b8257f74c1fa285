/** The weights of customers, which decide their shares of an instance. */
import type {FleetConfiguration} from '../model.js';

/** The weights by customer; customers without a valid weight are left out. */
export function buildCustomerWeights(
  configuration: FleetConfiguration,
): ReadonlyMap<string, number> {
  return new Map(
    configuration.customers.flatMap(({name, weight = 0}) =>
      weight > 0 && Number.isFinite(weight) ? [[name, weight] as const] : [],
    ),
  );
}
