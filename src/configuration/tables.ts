/**
 * Lookup tables for the request path, built from one revision of the
 * configuration: customers, keys by digest, services, and routes by host and
 * path. Tables are immutable; a new revision gets new tables, which share
 * unchanged shards with the previous ones.
 */
import {firstIndexOf, hashOf, keyIdOf, trimSlash} from './packed_records.js';
import type {Customer, Key, Route, Service} from './records.js';
import {
  EMPTY_STATE,
  findRecord,
  recordsOf,
  type ConfigurationState,
} from './state.js';

/** Read access to one revision of the configuration. */
export interface Tables {
  readonly revision: number;
  customer(id: string): Customer | undefined;
  /** The key with this SHA-256 digest (hexadecimal), unless it has expired. */
  key(digest: string, nowMs: number): Key | undefined;
  service(id: string): Service | undefined;
  services(): readonly Service[];
  customers(): readonly Customer[];
  /** Routes that match a host and path, the most specific first. */
  routes(host: string, path: string): readonly Route[];
}

const INDEX_BITS = 24;
const INDEX_MASK = (1 << INDEX_BITS) - 1;

/** Tables over the packed records of a state. */
export class PackedTables implements Tables {
  readonly revision: number;
  readonly #state: ConfigurationState;
  readonly #services: ReadonlyMap<string, Service>;
  readonly #routes: RouteIndex;

  constructor(state: ConfigurationState) {
    this.revision = state.revision;
    this.#state = state;
    const services = state.shards.flatMap(shard => shard.records.services);
    this.#services = new Map(services.map(s => [s.id, s]));
    this.#routes = new RouteIndex(state);
  }

  customer(id: string): Customer | undefined {
    return findRecord(this.#state, 'customer', id);
  }

  key(digest: string, nowMs: number): Key | undefined {
    const key = findRecord(this.#state, 'key', keyIdOf(digest));
    if (key?.digest !== digest) return undefined;
    const isExpired = key.expiresAt !== undefined && key.expiresAt <= nowMs;
    return isExpired ? undefined : key;
  }

  service(id: string): Service | undefined {
    return this.#services.get(id);
  }

  services(): readonly Service[] {
    return [...this.#services.values()];
  }

  customers(): readonly Customer[] {
    return recordsOf(this.#state, 'customer');
  }

  routes(host: string, path: string): readonly Route[] {
    return prefixesOf(path).flatMap(prefix => [
      ...this.#routes.find(host, prefix),
      ...this.#routes.find('*', prefix),
    ]);
  }
}

/** Index of routes by host and path, in two typed arrays. */
class RouteIndex {
  readonly #state: ConfigurationState;
  /** In ascending order. */
  readonly #hashes: Uint32Array;
  /** Shard number and index within the shard, packed into one number. */
  readonly #locations: Uint32Array;

  constructor(state: ConfigurationState) {
    this.#state = state;
    const entries = BigUint64Array.from(
      state.shards.flatMap(({records}, shard) =>
        [...records.routeHashes].map((hash, nth) => {
          const index = records.routeIndexes[nth] ?? 0;
          const place = shard * (INDEX_MASK + 1) + index;
          return (BigInt(hash) << 32n) | BigInt(place);
        }),
      ),
    ).sort();
    this.#hashes = Uint32Array.from(entries, entry => Number(entry >> 32n));
    this.#locations = Uint32Array.from(entries, e => Number(e & 0xffffffffn));
  }

  /** Finds the routes with exactly this host and path. */
  find(host: string, path: string): readonly Route[] {
    const hash = hashOf(`${host} ${path}`);
    const found: Route[] = [];
    let at = firstIndexOf(this.#hashes, hash);
    while (this.#hashes[at] === hash) {
      const route = this.#readRoute(this.#locations[at] ?? 0);
      const isSame = route?.host === host && trimSlash(route.path) === path;
      if (route && isSame) found.push(route);
      at += 1;
    }
    return found;
  }

  #readRoute(place: number): Route | undefined {
    const records = this.#state.shards[place >>> INDEX_BITS]?.records;
    const record = records?.at(place & INDEX_MASK);
    return record?.kind === 'route' ? record : undefined;
  }
}

/** The tables of a daemon that has no configuration yet. */
export const EMPTY_TABLES: Tables = new PackedTables(EMPTY_STATE);

/** Prefixes of a path, longest first: `/a/b` gives `/a/b`, `/a` and `/`. */
function prefixesOf(path: string): readonly string[] {
  const segments = path.split('/').filter(segment => segment !== '');
  return [...segments.keys()]
    .map(index => `/${segments.slice(0, index + 1).join('/')}`)
    .reverse()
    .concat('/');
}
