/** Idempotency keys of callers' requests (header `Idempotency-Key`). */
import type {IncomingMessage} from 'node:http';
import type {Outcome, Work} from '../gate/work.js';
import type {Settlement} from '../idempotency/messages.js';
import type {AccessGranted} from './access.js';

/** A key, and the customer or route within which it is unique. */
export interface ClaimRequest {
  readonly scope: string;
  readonly key: string;
}

const KEY_PATTERN = /^[\x21-\x7e][\x20-\x7e]{0,254}$/;

/**
 * Returns the claim that a request needs: none if it has no key or is
 * idempotent anyway. On a route that is open to all, the route is the scope.
 */
export function readClaimRequest(
  req: IncomingMessage,
  work: Work,
  access: AccessGranted,
): ClaimRequest | 'invalid' | undefined {
  const key = req.headers['idempotency-key'];
  if (key === undefined || work.idempotent) return undefined;
  if (typeof key !== 'string' || !KEY_PATTERN.test(key)) return 'invalid';
  const {customer, route} = access;
  const scope = customer ? `customer ${customer.id}` : `route ${route.id}`;
  return {scope, key};
}

/** The settlement to report to the holders of the key. */
export function settlementOf(outcome: Outcome): Settlement {
  return SETTLEMENTS[outcome.kind];
}

const SETTLEMENTS: Readonly<Record<Outcome['kind'], Settlement>> = {
  answered: 'finished',
  unknown: 'unknown',
  'not-run': 'released',
};
