/**
 * Parses the sheet that planners export each morning: CSV with a header line
 * and one record per row. It declares all customers, services and routes; keys
 * are managed separately. Each fault is reported with its line and column.
 */
import {setImmediate as yieldToEventLoop} from 'node:timers/promises';
import {parse, type CsvError} from 'csv-parse';
import {Failure} from '../errors/failure.js';
import {
  recordSchema,
  type ConfigurationRecord,
  type RecordKind,
} from './records.js';
import {findBrokenReferences} from './references.js';
import {
  decodeSheet,
  detectDelimiter,
  parseSheetNumber,
  type Delimiter,
} from './sheet_text.js';
import {EMPTY_STATE, recordKey} from './state.js';

type Convert = (text: string, delimiter: Delimiter) => unknown;

/** Keeps text that isn't a number, so that the schema reports the fault. */
const number: Convert = (text, delimiter) =>
  parseSheetNumber(text, delimiter) ?? text;
const list: Convert = text => text.split(/[\s,|]+/).filter(id => id !== '');
const word: Convert = text => text.toLowerCase();
const same: Convert = text => text;

/** Converts the text of each column to the value of a field. */
const COLUMNS: Readonly<Record<string, Convert>> = {
  kind: word,
  id: same,
  name: same,
  ratePerSecond: number,
  burst: number,
  floor: number,
  objectiveSuccess: number,
  objectiveLatencyMs: number,
  host: word,
  path: same,
  service: same,
  access: word,
  customers: list,
  idempotent: word,
  deadlineMs: number,
};

const COLUMN_OF_NAME: ReadonlyMap<string, string> = new Map(
  Object.keys(COLUMNS).map(column => [column.toLowerCase(), column]),
);
const KINDS: readonly RecordKind[] = ['customer', 'service', 'route'];
const MAX_FAULTS = 200;
const ROWS_PER_YIELD = 200;

interface Row {
  /** Line on which the row starts. */
  readonly line: number;
  readonly cells: readonly string[];
}

/** Column name by position; undefined for a column without a heading. */
type Header = readonly (string | undefined)[];

interface ParsedRecord {
  readonly row: Row;
  readonly record: ConfigurationRecord;
}

/** Parses the records of a sheet; throws `sheetInvalid` with its faults. */
export async function parseSheet(
  bytes: Buffer,
): Promise<readonly ConfigurationRecord[]> {
  const decoded = decodeSheet(bytes);
  if ('badLine' in decoded) {
    return throwFaults([`line ${decoded.badLine}: not valid UTF-8 text`]);
  }
  const delimiter = detectDelimiter(decoded.text);
  const [headerRow, ...rows] = await parseRows(decoded.text, delimiter);
  if (!headerRow) return throwFaults(['line 1: the sheet is empty']);
  const header = parseHeader(headerRow);
  const faults: string[] = [];
  const read: ParsedRecord[] = [];
  for (const [index, row] of rows.entries()) {
    const result = parseRecord(row, header, delimiter);
    if ('faults' in result) faults.push(...result.faults);
    else read.push(result);
    if (index % ROWS_PER_YIELD === 0) await yieldToEventLoop();
  }
  faults.push(...findDuplicates(read, header), ...findBrokenRows(read, header));
  if (faults.length > 0) return throwFaults(faults);
  return read.map(({record}) => record);
}

function throwFaults(faults: readonly string[]): never {
  const more = faults.length - MAX_FAULTS;
  const shown = faults.slice(0, MAX_FAULTS);
  throw new Failure('sheetInvalid', {
    faults: more > 0 ? [...shown, `and ${more} more`] : shown,
  });
}

async function parseRows(
  text: string,
  delimiter: Delimiter,
): Promise<readonly Row[]> {
  const parser = parse(text, {
    delimiter,
    info: true,
    raw: true,
    relax_column_count: true,
    skip_empty_lines: true,
    trim: true,
  });
  const rows: Row[] = [];
  try {
    for await (const item of parser) rows.push(toRow(item as RawRow));
  } catch (err) {
    const {lines, column, message} = err as CsvError & {
      readonly lines?: number;
      readonly column?: number | string;
    };
    const place = `line ${lines ?? 0}, column ${Number(column ?? 0) + 1}`;
    return throwFaults([`${place}: ${message}`]);
  }
  return rows.filter(row => row.cells.some(cell => cell !== ''));
}

interface RawRow {
  readonly record: readonly string[];
  readonly raw: string;
  readonly info: {readonly lines: number};
}

/** csv-parse reports the last line of a row, which may hold line breaks. */
function toRow({record, raw, info}: RawRow): Row {
  const breaks = raw.replace(/^\n+|\n$/g, '').split('\n').length - 1;
  return {line: info.lines - breaks, cells: record};
}

function parseHeader(row: Row): Header {
  const header = row.cells.map(cell =>
    COLUMN_OF_NAME.get(normalizeHeading(cell)),
  );
  const faults = row.cells.flatMap((cell, index) => {
    const place = `line ${row.line}, column ${index + 1}`;
    const column = header[index];
    if (cell === '') return [];
    if (column === undefined) return [`${place}: unknown column ${cell}`];
    const isFirst = header.indexOf(column) === index;
    return isFirst ? [] : [`${place}: ${column} appears twice`];
  });
  const missing = ['kind', 'id']
    .filter(column => !header.includes(column))
    .map(column => `line ${row.line}, column 1: no column ${column}`);
  if (faults.length + missing.length > 0) throwFaults([...faults, ...missing]);
  return header;
}

function normalizeHeading(cell: string): string {
  return cell.toLowerCase().replace(/[\s_-]/g, '');
}

function parseRecord(
  row: Row,
  header: Header,
  delimiter: Delimiter,
): ParsedRecord | {readonly faults: readonly string[]} {
  const surplus = row.cells.findIndex(
    (cell, index) => cell !== '' && header[index] === undefined,
  );
  if (surplus >= 0) {
    const place = `line ${row.line}, column ${surplus + 1}`;
    return {faults: [`${place}: a value without a column heading`]};
  }
  // Empty cells are omitted, so that the schema's defaults apply.
  const fields = header.flatMap((column, index) => {
    const text = row.cells[index] ?? '';
    if (column === undefined || text === '') return [];
    return [[column, COLUMNS[column]?.(text, delimiter)] as const];
  });
  const value = Object.fromEntries(fields);
  if (!KINDS.includes(value['kind'] as RecordKind)) {
    const place = describePlace(row, header, 'kind');
    return {faults: [`${place}: must be one of ${KINDS.join(', ')}`]};
  }
  const result = recordSchema.safeParse(value);
  if (result.success) return {row, record: result.data};
  return {
    faults: result.error.issues.flatMap(issue =>
      issue.code === 'unrecognized_keys'
        ? issue.keys.map(
            column =>
              `${describePlace(row, header, column)}: ` +
              `does not belong to a ${String(value['kind'])}`,
          )
        : [`${describePlace(row, header, issue.path[0])}: ${issue.message}`],
    ),
  };
}

function describePlace(row: Row, header: Header, column: unknown): string {
  const index = header.findIndex(name => name === column);
  const name = String(column);
  if (index < 0) return `line ${row.line}, no column ${name}`;
  return `line ${row.line}, column ${index + 1} (${name})`;
}

function findDuplicates(
  read: readonly ParsedRecord[],
  header: Header,
): readonly string[] {
  const lines = new Map<string, number>();
  return read.flatMap(({row, record}) => {
    const key = recordKey(record.kind, record.id);
    const first = lines.get(key);
    if (first === undefined) {
      lines.set(key, row.line);
      return [];
    }
    return [
      `${describePlace(row, header, 'id')}: ${key} is already on line ${first}`,
    ];
  });
}

function findBrokenRows(
  read: readonly ParsedRecord[],
  header: Header,
): readonly string[] {
  const put = read.map(({record}) => record);
  const rows = new Map(
    read.map(({row, record}) => [recordKey(record.kind, record.id), row]),
  );
  return findBrokenReferences(EMPTY_STATE, {put, removed: []}).flatMap(
    broken => {
      const row = rows.get(broken.from);
      if (!row) return [];
      return [
        `${describePlace(row, header, broken.field)}: ${broken.to} does not exist`,
      ];
    },
  );
}
