/**
 * Plans what a sheet would do to the configuration: which records it creates,
 * changes and removes, which changes of other operators it overwrites, and
 * whether it removes so many records that the operator must confirm it.
 */
import {Failure} from '../errors/failure.js';
import type {Change} from './changes.js';
import type {ConfigurationRecord, RecordKind} from './records.js';
import {
  allRecords,
  pruneEdit,
  recordKey,
  recordsOf,
  shardOf,
  type ConfigurationState,
  type Edit,
} from './state.js';

/** The plan of a sheet; the first three lists hold record keys. */
export interface SheetPlan {
  /** The revision that the plan was computed for. */
  readonly revision: number;
  readonly created: readonly string[];
  readonly changed: readonly string[];
  readonly removed: readonly string[];
  /** Changes to single records that the sheet overwrites. */
  readonly overwritten: readonly Overwritten[];
}

/** A change that was made to a record outside a sheet. */
export interface Overwritten {
  readonly record: string;
  readonly by: string;
  readonly revision: number;
}

/** Action name of a sheet in the audit. */
export const SHEET_ACTION = 'PUT sheet';

const MAX_UNCONFIRMED_REMOVAL_SHARE = 0.1;
const MAX_UNCONFIRMED_REMOVALS = 5;
const KINDS: readonly RecordKind[] = ['customer', 'service', 'route'];

/** Computes the edit that brings a state to what a sheet declares. */
export function sheetEdit(
  state: ConfigurationState,
  sheet: readonly ConfigurationRecord[],
): Edit {
  const declared = new Set(sheet.map(r => recordKey(r.kind, r.id)));
  const removed = allRecords(state)
    .filter(record =>
      record.kind === 'key'
        ? !declared.has(recordKey('customer', record.customer))
        : !declared.has(recordKey(record.kind, record.id)),
    )
    .map(record => recordKey(record.kind, record.id));
  return pruneEdit(state, {put: sheet, removed});
}

/** Computes the plan for a sheet's edit. */
export function planSheet(state: ConfigurationState, edit: Edit): SheetPlan {
  const exists = (key: string) => state.shards[shardOf(key)]?.records.has(key);
  const put = edit.put.map(record => recordKey(record.kind, record.id));
  const changed = put.filter(exists);
  const touched = new Set([...changed, ...edit.removed]);
  return {
    revision: state.revision,
    created: put.filter(key => !exists(key)),
    changed,
    removed: edit.removed,
    overwritten: state.changes.flatMap(change =>
      findOverwritten(change, touched),
    ),
  };
}

/** Throws `removalsRefused` if a sheet would remove many records of a kind. */
export function checkRemovals(state: ConfigurationState, edit: Edit): void {
  const large = KINDS.flatMap(kind => {
    const before = recordsOf(state, kind).length;
    const removedCount = edit.removed.filter(key =>
      key.startsWith(`${kind}/`),
    ).length;
    const isLarge =
      removedCount > MAX_UNCONFIRMED_REMOVALS &&
      removedCount > before * MAX_UNCONFIRMED_REMOVAL_SHARE;
    return isLarge ? [`${removedCount} of ${before} ${kind}s`] : [];
  });
  if (large.length === 0) return;
  const reason = `it would remove ${large.join(', ')}`;
  throw new Failure('removalsRefused', {reason});
}

function findOverwritten(
  {action, by, revision, delta}: Change,
  touched: ReadonlySet<string>,
): readonly Overwritten[] {
  if (!delta || action === SHEET_ACTION) return [];
  const put = delta.put.map(record => recordKey(record.kind, record.id));
  return [...put, ...delta.removed]
    .filter(record => touched.has(record) && !record.startsWith('key/'))
    .map(record => ({record, by, revision}));
}
