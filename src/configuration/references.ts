/** Checks that all records referred to still exist after an edit. */
import {Failure} from '../errors/failure.js';
import type {ConfigurationRecord, RecordKind} from './records.js';
import {
  recordKey,
  recordsOf,
  shardOf,
  type ConfigurationState,
  type Edit,
} from './state.js';

/** A reference to a record that doesn't exist. */
export interface BrokenReference {
  /** Key of the referring record. */
  readonly from: string;
  readonly field: string;
  /** Key of the missing record. */
  readonly to: string;
}

interface Reference {
  readonly field: string;
  readonly to: string;
}

type References = {
  readonly [Kind in RecordKind]: (
    record: Extract<ConfigurationRecord, {kind: Kind}>,
  ) => readonly Reference[];
};

const REFERENCES: References = {
  customer: () => [],
  service: () => [],
  key: key => [{field: 'customer', to: recordKey('customer', key.customer)}],
  route: route => [
    {field: 'service', to: recordKey('service', route.service)},
    ...route.customers.map(id => ({
      field: 'customers',
      to: recordKey('customer', id),
    })),
  ],
};

/** Finds all references that an edit would break. */
export function findBrokenReferences(
  state: ConfigurationState,
  edit: Edit,
): readonly BrokenReference[] {
  const removed = new Set(edit.removed);
  const put = new Set(edit.put.map(r => recordKey(r.kind, r.id)));
  const exists = (key: string) =>
    put.has(key) ||
    (!removed.has(key) && state.shards[shardOf(key)]?.records.has(key));
  const kept = [...recordsOf(state, 'route'), ...recordsOf(state, 'key')]
    .map(record => ({record, key: recordKey(record.kind, record.id)}))
    .filter(({key}) => !removed.has(key) && !put.has(key))
    .map(({record}) => record);
  const checked = removed.size > 0 ? [...edit.put, ...kept] : edit.put;
  return checked.flatMap(record =>
    referencesOf(record)
      .filter(({to}) => !exists(to))
      .map(({field, to}) => {
        return {from: recordKey(record.kind, record.id), field, to};
      }),
  );
}

/** Throws `referenceBroken` with all references that an edit would break. */
export function checkReferences(state: ConfigurationState, edit: Edit): void {
  const faults = findBrokenReferences(state, edit).map(describeBrokenReference);
  if (faults.length > 0) throw new Failure('referenceBroken', {faults});
}

/** Describes a broken reference for an error message. */
export function describeBrokenReference({
  from,
  field,
  to,
}: BrokenReference): string {
  return `${from}: ${field} refers to ${to}, which does not exist`;
}

function referencesOf(record: ConfigurationRecord): readonly Reference[] {
  const find = REFERENCES[record.kind] as (
    r: ConfigurationRecord,
  ) => readonly Reference[];
  return find(record);
}
