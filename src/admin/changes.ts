/** How requests that change the configuration are made and answered. */
import {createHash, randomUUID} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AcceptedChange} from '../configuration/change_acceptor.js';
import type {Precondition} from '../configuration/edits.js';
import {Failure} from '../errors/failure.js';
import {sendJson} from './answers.js';

const CHANGE_ID = /^[A-Za-z0-9._-]{8,64}$/;
const FINGERPRINT_LENGTH = 16;
const IN_FORCE_WITHIN_S = 12;

/** What identifies a request that may be repeated. */
export interface RequestIdentity {
  readonly changeId: string;
  readonly fingerprint: string;
}

/** The `Change-Id` of a request, or a new one, and a digest of the rest. */
export function identify(
  req: IncomingMessage,
  body: Buffer | string,
): RequestIdentity {
  const given = req.headers['change-id'];
  if (given !== undefined && !CHANGE_ID.test(String(given))) {
    const reason = 'must be 8 to 64 of A-Z a-z 0-9 . _ -';
    throw new Failure('recordInvalid', {record: 'Change-Id', reason});
  }
  const fingerprint = createHash('sha256')
    .update(`${req.method} ${req.url}\n${req.headers['if-match'] ?? ''}\n`)
    .update(body)
    .digest('base64url')
    .slice(0, FINGERPRINT_LENGTH);
  return {changeId: String(given ?? randomUUID()), fingerprint};
}

/** The precondition headers of a request. */
export function preconditionOf(req: IncomingMessage): Precondition {
  const {'if-match': ifMatch, 'if-none-match': ifNoneMatch} = req.headers;
  return {ifMatch, ifNoneMatch};
}

/**
 * Answers for an accepted change: 200 if it will be in force everywhere in
 * time, 202 if it is written but that is not yet assured.
 */
export function sendAccepted(
  res: ServerResponse,
  identity: RequestIdentity,
  accepted: AcceptedChange,
  more: Readonly<Record<string, unknown>> = {},
  headers: Readonly<Record<string, string>> = {},
): void {
  const {change, repeated, assured, state} = accepted;
  const detail = assured
    ? `in force everywhere within ${IN_FORCE_WITHIN_S} s`
    : 'written; it spreads, but when it is in force everywhere is not assured';
  sendJson(
    res,
    assured ? 200 : 202,
    {
      revision: change?.revision ?? state.revision,
      changeId: identity.changeId,
      changed: change !== undefined,
      repeated,
      assured,
      detail: change ? detail : `everything was so already; ${detail}`,
      ...more,
    },
    headers,
  );
}
