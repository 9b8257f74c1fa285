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

/**
 * Of a larger body only the beginning and the end are hashed, this many bytes of
 * each: hashing all of it would block the event loop.
 */
const MAX_HASHED_BYTES = 128 * 1024;
/** Bytes of the hash that are used, enough to rule out collisions. */
const FINGERPRINT_BYTES = 16;
/** A fingerprint as text: 16 bytes in URL-safe Base64. */
export const FINGERPRINT_PATTERN = /^[\w-]{22}$/;

/** Returns the fingerprint of a request. */
export function fingerprintOf(content: RequestContent): string {
  const {route, customer = '', method, host, path, body} = content;
  const {length} = body;
  const head = JSON.stringify([route, customer, method, host, path, length]);
  return createHash('sha256')
    .update(head)
    .update(body.subarray(0, MAX_HASHED_BYTES))
    .update(
      body.subarray(Math.max(MAX_HASHED_BYTES, length - MAX_HASHED_BYTES)),
    )
    .digest()
    .subarray(0, FINGERPRINT_BYTES)
    .toString('base64url');
}
