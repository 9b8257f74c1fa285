/**
 * The edits that operators ask for. Each decides on the state of the moment
 * and refuses by a `Failure`, so that it may be decided again after a race.
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

/** What the client believes of the record that it changes. */
export interface Precondition {
  /** ETag, or `*` for "any that exists". */
  readonly ifMatch?: string;
  /** Only `*`: the record must not exist. */
  readonly ifNoneMatch?: string;
}

/** An edit that is decided on a state. */
export type DecideEdit = (state: ConfigurationState) => Edit;

/** Creates or overwrites a record. */
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

/** Removes a record; the keys of a customer go with it. */
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

/** Issues a key to a customer that exists. */
export function issueKey(key: Key): DecideEdit {
  return state => {
    const record = recordKey('customer', key.customer);
    if (!findRecord(state, 'customer', key.customer)) {
      throw new Failure('recordMissing', {record});
    }
    const last = findRecord(state, 'key', key.id);
    if (last && last.digest !== key.digest) {
      const reason = 'another key has this id; issue one more';
      throw new Failure('preconditionFailed', {record: key.id, reason});
    }
    return {put: [key], removed: []};
  };
}

/** The keys of one customer. */
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
    const reason = 'it is not there, or not any more';
    throw new Failure('preconditionFailed', {record, reason});
  }
  if (ifMatch === '*' || ifMatch === etagOf(last)) return;
  const reason = `it was changed meanwhile; its ETag is now ${etagOf(last)}`;
  throw new Failure('preconditionFailed', {record, reason});
}
