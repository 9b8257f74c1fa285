/**
 * The tables that the hot path looks things up in, made from one revision of
 * the configuration: customers, keys by digest, services, routes by host and
 * path. A set of tables never changes; a new revision makes a new one.
 */
import type {
  ConfigurationRecord,
  Customer,
  Key,
  Route,
  Service,
} from './records.js';

/** Read access to one revision of the configuration. */
export interface Tables {
  readonly revision: number;
  customer(id: string): Customer | undefined;
  /** The key with this SHA-256 digest (hexadecimal), if it is valid now. */
  key(digest: string, nowMs: number): Key | undefined;
  service(id: string): Service | undefined;
  services(): readonly Service[];
  customers(): readonly Customer[];
  /** Routes for a host and path, the most specific first. */
  routes(host: string, path: string): readonly Route[];
}

/** Tables in plain maps. */
export class MapTables implements Tables {
  readonly revision: number;
  readonly #customers: ReadonlyMap<string, Customer>;
  readonly #keys: ReadonlyMap<string, Key>;
  readonly #services: ReadonlyMap<string, Service>;
  readonly #routes: ReadonlyMap<string, readonly Route[]>;

  constructor(revision: number, records: readonly ConfigurationRecord[]) {
    this.revision = revision;
    const ofKind = <Kind extends ConfigurationRecord['kind']>(kind: Kind) =>
      records.filter(
        (r): r is Extract<ConfigurationRecord, {kind: Kind}> => r.kind === kind,
      );
    this.#customers = new Map(ofKind('customer').map(c => [c.id, c]));
    this.#keys = new Map(ofKind('key').map(k => [k.digest, k]));
    this.#services = new Map(ofKind('service').map(s => [s.id, s]));
    this.#routes = groupRoutes(ofKind('route'));
  }

  customer(id: string): Customer | undefined {
    return this.#customers.get(id);
  }

  key(digest: string, nowMs: number): Key | undefined {
    const key = this.#keys.get(digest);
    const expired = key?.expiresAt !== undefined && key.expiresAt <= nowMs;
    return expired ? undefined : key;
  }

  service(id: string): Service | undefined {
    return this.#services.get(id);
  }

  services(): readonly Service[] {
    return [...this.#services.values()];
  }

  customers(): readonly Customer[] {
    return [...this.#customers.values()];
  }

  routes(host: string, path: string): readonly Route[] {
    return prefixesOf(path).flatMap(prefix => [
      ...(this.#routes.get(`${host} ${prefix}`) ?? []),
      ...(this.#routes.get(`* ${prefix}`) ?? []),
    ]);
  }
}

/** Tables of a daemon that has no configuration yet. */
export const EMPTY_TABLES: Tables = new MapTables(0, []);

function routeKey(route: Route): string {
  return `${route.host} ${trimSlash(route.path)}`;
}

function trimSlash(path: string): string {
  return path.length > 1 && path.endsWith('/') ? path.slice(0, -1) : path;
}

function groupRoutes(
  routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
  return routes.reduce((groups, route) => {
    const key = routeKey(route);
    return groups.set(key, [...(groups.get(key) ?? []), route]);
  }, new Map<string, readonly Route[]>());
}

/** `/a/b` gives `/a/b`, `/a`, `/`: the longest first. */
function prefixesOf(path: string): readonly string[] {
  const segments = path.split('/').filter(segment => segment !== '');
  return [...segments.keys()]
    .map(index => `/${segments.slice(0, index + 1).join('/')}`)
    .reverse()
    .concat('/');
}
