/**
 * The records of one shard in a single buffer. Each record is packed by
 * msgpackr as a list of its field values, without their names, and is found by
 * binary search over the hashes of the record keys. A lookup unpacks only the
 * record that it finds.
 */
import {Packr} from 'msgpackr';
import {
  customerSchema,
  keySchema,
  routeSchema,
  serviceSchema,
  type ConfigurationRecord,
  type RecordKind,
  type Route,
  type Service,
} from './records.js';

const KEY_ID_LENGTH = 16;

const packr = new Packr({useRecords: false});

/** Field names of a schema, without those that are derived from others. */
function fieldsExcept(
  {shape}: {readonly shape: object},
  ...left: readonly string[]
): readonly string[] {
  return Object.keys(shape).filter(name => !left.includes(name));
}

/** The order of the packed fields; never leaves the process. */
const FIELDS: Readonly<Record<RecordKind, readonly string[]>> = {
  customer: fieldsExcept(customerSchema, 'kind'),
  // The id of a key is the start of its digest.
  key: fieldsExcept(keySchema, 'kind', 'id'),
  service: fieldsExcept(serviceSchema, 'kind'),
  route: fieldsExcept(routeSchema, 'kind'),
};

/** Enum values, which are packed as their index. */
const ENUM_VALUES: Readonly<Record<string, readonly string[]>> = {
  access: ['key', 'open'],
  idempotent: ['by-method', 'yes', 'no'],
};

const KINDS: readonly RecordKind[] = ['customer', 'key', 'service', 'route'];
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a hash over the UTF-16 code units of a text. */
export function hashOf(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}

/** First index of a hash in an ascending array, or its insertion index. */
export function firstIndexOf(hashes: Uint32Array, hash: number): number {
  let low = 0;
  let high = hashes.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    if ((hashes[middle] ?? 0) < hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** The key of a record, unique across all kinds. */
export function recordKey(kind: RecordKind, id: string): string {
  return `${kind}/${id}`;
}

/** Derives a key's id from its digest, so that both find the record. */
export function keyIdOf(digest: string): string {
  return digest.slice(0, KEY_ID_LENGTH);
}

/** Hash of a route's host and path, by which it is looked up. */
export function routeHashOf(route: Pick<Route, 'host' | 'path'>): number {
  return hashOf(`${route.host} ${trimSlash(route.path)}`);
}

/** Removes the trailing slash of a path. */
export function trimSlash(path: string): string {
  return path.length > 1 && path.endsWith('/') ? path.slice(0, -1) : path;
}

/** An immutable set of records, looked up by record key. */
export class PackedRecords {
  static readonly empty = PackedRecords.from([]);

  readonly #bytes: Buffer;
  /** Ascending hashes; indexes match those of `#offsets`. */
  readonly #hashes: Uint32Array;
  readonly #offsets: Uint32Array;
  /** Kept unpacked, since there are few services. */
  readonly services: readonly Service[];
  /** {@link routeHashOf} of each route, and its index in this set. */
  readonly routeHashes: Uint32Array;
  readonly routeIndexes: Uint32Array;

  private constructor(sorted: readonly ConfigurationRecord[], bytes: Buffer) {
    const hashes = sorted.map(r => hashOf(recordKey(r.kind, r.id)));
    this.#hashes = Uint32Array.from(hashes);
    this.#offsets = new Uint32Array(sorted.length + 1);
    this.#bytes = bytes;
    this.services = sorted.filter(r => r.kind === 'service');
    const routes = sorted.flatMap((record, index) =>
      record.kind === 'route' ? [{record, index}] : [],
    );
    this.routeHashes = Uint32Array.from(routes, r => routeHashOf(r.record));
    this.routeIndexes = Uint32Array.from(routes, r => r.index);
  }

  /** Packs records, which must have distinct keys. */
  static from(records: readonly ConfigurationRecord[]): PackedRecords {
    const sorted = records
      .map(record => {
        return {record, hash: hashOf(recordKey(record.kind, record.id))};
      })
      .toSorted((a, b) => a.hash - b.hash)
      .map(({record}) => record);
    const parts = sorted.map(record => packr.pack(fieldsOf(record)));
    const length = parts.reduce((sum, part) => sum + part.length, 0);
    // Not from the pool: a pooled buffer would keep its whole slab in memory.
    const bytes = Buffer.allocUnsafeSlow(length);
    const packed = new PackedRecords(sorted, bytes);
    parts.reduce((offset, part, index) => {
      bytes.set(part, offset);
      packed.#offsets[index + 1] = offset + part.length;
      return offset + part.length;
    }, 0);
    return packed;
  }

  get size(): number {
    return this.#hashes.length;
  }

  /** Memory used by the buffers of this set, in bytes. */
  get byteLength(): number {
    const arrays = [
      this.#hashes,
      this.#offsets,
      this.routeHashes,
      this.routeIndexes,
    ];
    const indexBytes = arrays.reduce((sum, array) => sum + array.byteLength, 0);
    return this.#bytes.length + indexBytes;
  }

  get(key: string): ConfigurationRecord | undefined {
    const hash = hashOf(key);
    let index = firstIndexOf(this.#hashes, hash);
    while (this.#hashes[index] === hash) {
      const record = this.at(index);
      if (recordKey(record.kind, record.id) === key) return record;
      index += 1;
    }
    return undefined;
  }

  has(key: string): boolean {
    return this.get(key) !== undefined;
  }

  /** The record at an index below `size`. */
  at(index: number): ConfigurationRecord {
    const start = this.#offsets[index] ?? 0;
    const end = this.#offsets[index + 1];
    return recordOf(
      packr.unpack(this.#bytes.subarray(start, end)) as unknown[],
    );
  }

  /** All records, unpacked. */
  values(): readonly ConfigurationRecord[] {
    return Array.from({length: this.size}, (_, index) => this.at(index));
  }
}

function fieldsOf(record: ConfigurationRecord): readonly unknown[] {
  const values = record as unknown as Readonly<Record<string, unknown>>;
  const fields = FIELDS[record.kind].map(name => pack(name, values[name]));
  const last = fields.findLastIndex(value => value !== undefined);
  return [KINDS.indexOf(record.kind), ...fields.slice(0, last + 1)];
}

function recordOf([kindIndex, ...fields]: readonly unknown[]) {
  const kind = KINDS[Number(kindIndex)] ?? 'customer';
  const record: Record<string, unknown> = {kind};
  FIELDS[kind].forEach((name, index) => {
    const value = fields[index];
    if (value !== undefined && value !== null)
      record[name] = unpack(name, value);
  });
  if (kind === 'key') record['id'] = keyIdOf(String(record['digest']));
  return record as unknown as ConfigurationRecord;
}

function pack(name: string, value: unknown): unknown {
  if (name === 'digest') return Buffer.from(String(value), 'hex');
  return ENUM_VALUES[name]?.indexOf(String(value)) ?? value;
}

function unpack(name: string, value: unknown): unknown {
  if (Buffer.isBuffer(value)) return value.toString('hex');
  return ENUM_VALUES[name]?.[Number(value)] ?? value;
}
