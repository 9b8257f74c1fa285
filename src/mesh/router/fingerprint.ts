/**
 * Fingerprint of a request: the same for every attempt at the same piece of
 * work, whatever its request id. It is a cryptographic hash, so that no caller
 * can make a request with the fingerprint of another one.
 */
import {createHash} from 'node:crypto';

/** What makes two requests the same piece of work. */
export interface RequestContent {
  readonly route: string;
  readonly customer: string | undefined;
  readonly method: string;
  readonly host: string;
  /** With the query. */
  readonly path: string;
  readonly body: Buffer;
}

/** Bytes of the hash that are used, enough to rule out collisions. */
const FINGERPRINT_BYTES = 16;
/** A fingerprint as text: 16 bytes in URL-safe Base64. */
export const FINGERPRINT_PATTERN = /^[\w-]{22}$/;

/** Returns the fingerprint of a request. */
export function fingerprintOf(content: RequestContent): string {
  const {route, customer = '', method, host, path, body} = content;
  const head = JSON.stringify([route, customer, method, host, path]);
  return createHash('sha256')
    .update(head)
    .update(body)
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
