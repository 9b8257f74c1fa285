/**
 * The checks of a request before its body is read: route, customer, and whether
 * it could end before a planned stop. They change no state, so that the
 * explanation of a request uses them too.
 */
import type {Customer, Route} from '../model.js';
import type {RefusalName} from './refusals.js';
import type {RouteTable} from './route_table.js';

/** The part of a request that is checked. */
export interface RequestHead {
  /** Empty if the request has none. */
  readonly id: string;
  /** May contain a port. */
  readonly host: string;
  /** With the query. */
  readonly path: string;
  /** The header field of the API key. */
  readonly key: string | readonly string[] | undefined;
}

/** The result of the checks. */
export type Admission =
  | {
      readonly kind: 'admitted';
      readonly table: RouteTable;
      readonly route: Route;
      /** Undefined if the request needs no key. */
      readonly customer: Customer | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly name: RefusalName;
      /** Undefined if none matches. */
      readonly route?: Route;
    };

/** Checks a request. */
export function checkHead(
  head: RequestHead,
  table: RouteTable | undefined,
  canFinish: (route: Route) => boolean,
): Admission {
  if (!table) return {kind: 'refused', name: 'not-ready'};
  const route = table.findRoute(head.host, head.path);
  if (!route) return {kind: 'refused', name: 'no-route'};
  const customer = authenticate(head.key, route, table);
  if (typeof customer === 'string') {
    return {kind: 'refused', name: customer, route};
  }
  if (head.id === '') {
    return {kind: 'refused', name: 'request-id-missing', route};
  }
  if (!canFinish(route)) return {kind: 'refused', name: 'stopping', route};
  return {kind: 'admitted', table, route, customer};
}

/**
 * Returns the customer, undefined if the request needs none, or the name of the
 * refusal.
 */
function authenticate(
  key: RequestHead['key'],
  route: Route,
  table: RouteTable,
): Customer | undefined | 'key-missing' | 'key-unknown' {
  if (route.isPublic || !table.hasCustomers) return undefined;
  if (typeof key !== 'string' || key === '') return 'key-missing';
  return table.findCustomer(key) ?? 'key-unknown';
}
