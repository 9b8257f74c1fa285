/**
 * Looks up routes by host and longest path prefix, and customers by API key.
 * Built once for each version of the configuration.
 */
import type {Customer, FleetConfiguration, Route} from '../model.js';

/** The lookup tables of one version of the configuration. */
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

  /** Finds the route of a request; `host` may contain a port. */
  findRoute(host: string, path: string): Route | undefined {
    const hostname = host.toLowerCase().replace(/:\d+$/, '');
    const [pathname = ''] = path.split('?');
    return this.#routesByHost
      .get(hostname)
      ?.find(({prefix}) => pathname.startsWith(prefix));
  }

  findCustomer(key: string): Customer | undefined {
    return this.#customersByKey.get(key);
  }
}

/** Groups routes by host and sorts each group, the longest prefix first. */
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

/** Picks one of the route's services at random, by their weights. */
export function pickService(
  route: Route,
  random: () => number = Math.random,
): string | undefined {
  const total = route.targets.reduce((sum, {weight}) => sum + weight, 0);
  let remaining = random() * total;
  return route.targets.find(({weight}) => (remaining -= weight) < 0)?.service;
}
