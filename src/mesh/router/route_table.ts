/**
 * Lookup of routes by host and longest path prefix, and of customers by key,
 * built once for each configuration.
 */
import type {Customer, FleetConfiguration, Route} from '../model.js';

/** The tables of one configuration. */
export class RouteTable {
  readonly version: number;
  readonly hasCustomers: boolean;
  readonly #routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly #customersByKey: ReadonlyMap<string, Customer>;

  constructor(configuration: FleetConfiguration) {
    const {version, routes, customers} = configuration;
    this.version = version;
    this.hasCustomers = customers.length > 0;
    this.#routesByHost = groupByHost(routes);
    this.#customersByKey = new Map(
      customers.flatMap(customer =>
        customer.keys.map(key => [key, customer] as const),
      ),
    );
  }

  /** The route of a request; `host` may carry a port. */
  route(host: string, path: string): Route | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    const [plain = ''] = path.split('?');
    return this.#routesByHost
      .get(name)
      ?.find(({prefix}) => plain.startsWith(prefix));
  }

  customerOfKey(key: string): Customer | undefined {
    return this.#customersByKey.get(key);
  }
}

/** Routes by host, the longest prefix first. */
function groupByHost(
  routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
  const groups = new Map<string, Route[]>();
  routes.forEach(route => {
    const host = route.host.toLowerCase();
    groups.set(host, [...(groups.get(host) ?? []), route]);
  });
  groups.forEach(group =>
    group.sort((a, b) => b.prefix.length - a.prefix.length),
  );
  return groups;
}

/** One of the route's services, in proportion to their weights. */
export function pickService(
  route: Route,
  random: () => number = Math.random,
): string | undefined {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let at = random() * total;
  return route.targets.find(({weight}) => (at -= weight) < 0)?.service;
}
