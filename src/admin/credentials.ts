/**
 * Who may use the administration API. A bearer token is known by its digest;
 * a reader reads, an operator also changes.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import {Failure} from '../errors/failure.js';
import type {Settings} from '../settings/schema.js';

/** A credential of the settings. */
export type Credential = Settings['administration']['credentials'][number];

/** What a credential may do. */
export type Role = Credential['role'];

const ROLES_THAT_MAY: Readonly<Record<Role, readonly Role[]>> = {
  reader: ['reader', 'operator'],
  operator: ['operator'],
};

/** The credential of a request; throws `unauthorized` or `forbidden`. */
export function authorize(
  req: IncomingMessage,
  credentials: readonly Credential[],
  needed: Role,
): Credential {
  const token = /^Bearer (\S+)$/.exec(req.headers.authorization ?? '')?.[1];
  if (token === undefined) throw new Failure('unauthorized', {});
  const digest = createHash('sha256').update(token).digest();
  const credential = credentials.find(({tokenSha256}) =>
    timingSafeEqual(Buffer.from(tokenSha256, 'hex'), digest),
  );
  if (!credential) throw new Failure('unauthorized', {});
  const {name, role} = credential;
  if (ROLES_THAT_MAY[needed].includes(role)) return credential;
  throw new Failure('forbidden', {name, needed});
}
