/**
 * The edits that operators request. Each is a function of the current state
 * that throws a `Failure` to refuse, so that it can be evaluated again on the
 * newer state after a lost compare-and-swap.
 */
import {Failure} from '../errors/failure.js';
import type {ConfigurationRecord, Key, RecordKind} from './records.js';
import {checkReferences} from './references.js';
import {
  etagOf,
  findRecord,
  recordKey,
  recordsOf,
  type ConfigurationState,
  type Edit,
} from './state.js';

/** Conditions on the stored record, from the client's request headers. */
export interface Precondition {
  /** An ETag, or `*` for any existing record. */
  readonly ifMatch?: string;
  /** Only `*` is used: the record must not exist yet. */
  readonly ifNoneMatch?: string;
}

/** Computes an edit from the current state. */
export type DecideEdit = (state: ConfigurationState) => Edit;

/**
 * Creates or overwrites a record. Overwriting with different content requires
 * a precondition.
 */
export function putRecord(
  record: ConfigurationRecord,
  precondition: Precondition,
): DecideEdit {
  return state => {
    const last = findRecord(state, record.kind, record.id);
    const key = recordKey(record.kind, record.id);
    checkPrecondition(key, last, precondition);
    const isUnconditional = !precondition.ifMatch && !precondition.ifNoneMatch;
    const differs = last && etagOf(last) !== etagOf(record);
    if (differs && isUnconditional) {
      throw new Failure('preconditionRequired', {record: key});
    }
    const edit = {put: [record], removed: []};
    checkReferences(state, edit);
    return edit;
  };
}

/** Removes a record; removing a customer also removes its keys. */
export function removeRecord(
  kind: RecordKind,
  id: string,
  precondition: Precondition,
): DecideEdit {
  return state => {
    const last = findRecord(state, kind, id);
    const key = recordKey(kind, id);
    checkPrecondition(key, last, precondition);
    if (!last) throw new Failure('recordMissing', {record: key});
    if (!precondition.ifMatch && kind !== 'key') {
      throw new Failure('preconditionRequired', {record: key});
    }
    const keys = kind === 'customer' ? keysOf(state, id) : [];
    const removed = [key, ...keys.map(k => recordKey('key', k.id))];
    const edit = {put: [], removed};
    checkReferences(state, edit);
    return edit;
  };
}

/** Issues a key to an existing customer. */
export function issueKey(key: Key): DecideEdit {
  return state => {
    const record = recordKey('customer', key.customer);
    if (!findRecord(state, 'customer', key.customer)) {
      throw new Failure('recordMissing', {record});
    }
    const last = findRecord(state, 'key', key.id);
    if (last && last.digest !== key.digest) {
      const reason = 'another key already has this id; issue a new key';
      throw new Failure('preconditionFailed', {record: key.id, reason});
    }
    return {put: [key], removed: []};
  };
}

/** Returns the keys of a customer. */
export function keysOf(
  state: ConfigurationState,
  customer: string,
): readonly Key[] {
  return recordsOf(state, 'key').filter(key => key.customer === customer);
}

function checkPrecondition(
  record: string,
  last: ConfigurationRecord | undefined,
  {ifMatch, ifNoneMatch}: Precondition,
): void {
  if (ifNoneMatch !== undefined && last) {
    const reason = 'it exists already';
    throw new Failure('preconditionFailed', {record, reason});
  }
  if (ifMatch === undefined) return;
  if (!last) {
    const reason = 'it does not exist, or was removed';
    throw new Failure('preconditionFailed', {record, reason});
  }
  if (ifMatch === '*' || ifMatch === etagOf(last)) return;
  const reason = `it has changed; its ETag is now ${etagOf(last)}`;
  throw new Failure('preconditionFailed', {record, reason});
}
