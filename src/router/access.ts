/**
 * Access control: which route a request may use, and for which customer it
 * runs. The customer is determined by the API key, never by what the caller
 * states.
 */
import {createHash} from 'node:crypto';
import type {Customer, Route} from '../configuration/records.js';
import type {Tables} from '../configuration/tables.js';
import type {RefusalName} from './refusals.js';

/** The route that the request may use, and the customer it runs for. */
export interface AccessGranted {
  readonly granted: true;
  readonly route: Route;
  /** Undefined on a route that is open to all. */
  readonly customer: Customer | undefined;
}

/** Why access is denied. */
export interface AccessDenied {
  readonly granted: false;
  readonly refusal: RefusalName;
}

/** SHA-256 of an API key in hexadecimal, as stored in the configuration. */
export function hashApiKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The properties of a request that access depends on. */
export interface AccessRequest {
  readonly host: string;
  readonly path: string;
  readonly key: string | undefined;
}

/**
 * Decides by the given tables. `areKeysFresh` is false while a key that is
 * valid in the tables may already have been withdrawn.
 */
export function decideAccess(
  tables: Tables,
  {host, path, key}: AccessRequest,
  areKeysFresh: boolean,
): AccessGranted | AccessDenied {
  const routes = tables.routes(host, path);
  const bestRoute = routes[0];
  if (!bestRoute) return {granted: false, refusal: 'no-route'};
  const candidates = routes.filter(route => route.path === bestRoute.path);
  const openRoute = candidates.find(route => route.access === 'open');
  if (openRoute) return {granted: true, route: openRoute, customer: undefined};
  if (key === undefined) return {granted: false, refusal: 'key-missing'};
  if (!areKeysFresh) return {granted: false, refusal: 'keys-stale'};
  const record = tables.key(hashApiKey(key), Date.now());
  const customer = record && tables.customer(record.customer);
  if (!customer) return {granted: false, refusal: 'key-unknown'};
  const route = candidates.find(({customers}) => {
    return customers.length === 0 || customers.includes(customer.id);
  });
  if (!route) return {granted: false, refusal: 'not-allowed'};
  return {granted: true, route, customer};
}
