/**
 * The audit over HTTP: who changed what, when, and by which change id. The
 * newest changes stand in the head, older ones in archived values.
 */
import type {ServerResponse} from 'node:http';
import type {PolkaRequest} from 'polka';
import {readArchive, readHead} from '../configuration/store_reader.js';
import type {Change} from '../configuration/changes.js';
import type {Store} from '../platform/store.js';
import {sendJson} from './answers.js';

const DEFAULT_PAGE = 100;
const MAX_PAGE = 1000;

/** Answers with entries of the audit, the newest first. */
export async function sendAudit(
  store: Store,
  req: PolkaRequest,
  res: ServerResponse,
): Promise<void> {
  const before = Number(req.query['before'] ?? Infinity);
  const asked = Number(req.query['limit'] ?? DEFAULT_PAGE);
  const limit = Math.min(Math.max(1, asked || DEFAULT_PAGE), MAX_PAGE);
  const {head} = await readHead(store);
  const found = olderThan(head.changes.toReversed(), before);
  for (const key of head.archive.toReversed()) {
    if (found.length >= limit) break;
    found.push(...olderThan(await readArchive(store, key), before));
  }
  sendJson(res, 200, {entries: found.slice(0, limit).map(entryOf)});
}

function olderThan(changes: readonly Change[], before: number): Change[] {
  return changes.filter(change => change.revision < before);
}

function entryOf({revision, changeId, atMs, by, action}: Change) {
  const at = new Date(atMs).toISOString();
  return {revision, at, by, action, changeId, outcome: 'accepted'};
}
