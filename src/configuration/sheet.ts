/**
 * The sheet that planners export each morning: CSV with a header line, `;`
 * or `,` between fields, decimal comma or point, one record a row. It
 * declares customers, services and routes; keys are managed apart from it.
 */
import {parse} from 'csv-parse/sync';
import {Failure, reasonOf} from '../errors/failure.js';
import {recordSchema, type ConfigurationRecord} from './records.js';
import {
  allRecords,
  recordKey,
  type ConfigurationState,
  type Edit,
} from './state.js';

type Row = Readonly<Record<string, string>>;
type Convert = (text: string) => unknown;

const decimal: Convert = text => Number(text.replace(',', '.'));
const list: Convert = text => text.split(/\s+/).filter(item => item !== '');
const same: Convert = text => text;

/** How the text of a column becomes the value of a field. */
const COLUMNS: Readonly<Record<string, Convert>> = {
  kind: same,
  id: same,
  name: same,
  ratePerSecond: decimal,
  burst: decimal,
  floor: decimal,
  objectiveSuccess: decimal,
  objectiveLatencyMs: decimal,
  host: same,
  path: same,
  service: same,
  access: same,
  customers: list,
  idempotent: same,
  deadlineMs: decimal,
};

interface ParsedRow {
  readonly record: Row;
  readonly info: {readonly lines: number};
}

/** The records of a sheet; throws a `Failure` that lists every fault. */
export function parseSheet(
  bytes: Buffer,
  file: string,
): readonly ConfigurationRecord[] {
  const rows = parseRows(bytes, file);
  const results = rows.map(row => recordSchema.safeParse(fieldsOf(row.record)));
  const faults = results.flatMap((result, index) =>
    result.success
      ? []
      : result.error.issues.map(issue => {
          const line = rows[index]?.info.lines ?? 0;
          return `line ${line}, ${issue.path.join('.')}: ${issue.message}`;
        }),
  );
  if (faults.length > 0) {
    throw new Failure('recordInvalid', {
      record: file,
      reason: faults.join('\n'),
    });
  }
  return results.flatMap(result => (result.success ? [result.data] : []));
}

/** The edit that brings a state to what a sheet declares. */
export function mergeSheet(
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
  return {put: sheet, removed};
}

function parseRows(bytes: Buffer, file: string): readonly ParsedRow[] {
  try {
    return parse(bytes, {
      bom: true,
      columns: true,
      delimiter: delimiterOf(bytes),
      info: true,
      skip_empty_lines: true,
      trim: true,
    }) as unknown as readonly ParsedRow[];
  } catch (err) {
    throw new Failure(
      'recordInvalid',
      {record: file, reason: reasonOf(err)},
      err,
    );
  }
}

function delimiterOf(bytes: Buffer): string {
  const header = bytes.toString('utf8').split(/\r?\n/, 1)[0] ?? '';
  return header.includes(';') ? ';' : ',';
}

/** Fields that are empty are left out, so that defaults hold. */
function fieldsOf(row: Row): unknown {
  const fields = Object.entries(row).filter(([, text]) => text !== '');
  return Object.fromEntries(
    fields.map(([column, text]) => [column, (COLUMNS[column] ?? same)(text)]),
  );
}
