/**
 * A stand-in for the platform's store, written from its published protocol:
 * items, leases and watches, with faults that the steps switch on. It can be
 * restored from a copy, which loses all later writes and leases: revisions and
 * lease numbers go back and are assigned again.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {CONFIGURATION_KEY} from '../../platform/configuration_document.js';
import {listen} from '../../src/http/listener.js';

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly Lease: number;
}

/** A change of an item, as watches report it. */
type Change =
  | Item
  | {readonly Key: string; readonly Revision: number; readonly Removed: true};

/** What a copy of the store contains. */
interface StoreState {
  readonly items: ReadonlyMap<string, Item>;
  readonly leases: ReadonlySet<number>;
  readonly history: readonly Change[];
  readonly lastLease: number;
  readonly revision: number;
}

interface Write {
  readonly Key: string;
  readonly Value: string;
  readonly Lease?: number;
}

/** One call to the store. */
export interface StoreCall {
  readonly operation: string;
  readonly prefix: string;
  readonly isStale: boolean;
  /** Monotonic time at which it arrived. */
  readonly atMs: number;
}

type Handler = (
  url: URL,
  body: string,
  res: ServerResponse,
) => void | Promise<void>;

/** A response without the field. */
const NO_ERA = 'none';
/** The system assigns the port. */
const ANY_PORT = '127.0.0.1:0';

/** Options of {@link PlatformStore}. */
export interface PlatformStoreOptions {
  /** How late a watch may report a change, in milliseconds. */
  readonly watchDelayMs?: number;
}

/** The store's HTTP server and its state. */
export class PlatformStore {
  isUnavailable = false;
  /** Calls get no response; watches that are open now never get one. */
  isSilent = false;
  /** Delay of every response but those of watches. */
  delayMs = 0;
  /** Sent in place of the era; undefined: the era itself. */
  eraField: string | undefined;
  /** Watches are answered without a wait, also if there is no change. */
  answersWatchesAtOnce = false;
  /** Every watch reports the last change again, and every page says more. */
  repeatsAnswers = false;
  /** Most items in one page of a range. */
  pageSize = Infinity;
  /** Called after each page of a range. */
  onPage: (() => void) | undefined;
  /** Number of reads of one item and of watches. */
  reads = 0;
  /** Every call so far, with the range that it was about. */
  readonly calls: StoreCall[] = [];
  readonly #watchDelayMs: number;
  #items = new Map<string, Item>();
  #leases = new Set<number>();
  #history: readonly Change[] = [];
  #lastLease = 0;
  #revision = 1;
  /** Watches from an earlier revision are answered with 410. */
  #historyStartRevision = 0;
  /** Sent with every response; rises by one when the store is restored. */
  #era = 1;
  #copy: StoreState | undefined;
  readonly #server = createServer((req, res) => void this.#serve(req, res));

  readonly #handlers: Readonly<Record<string, Handler>> = {
    'GET /kv-range': (url, _, res) => {
      const prefix = url.searchParams.get('PathPrefix') ?? '';
      const after = this.repeatsAnswers ? null : url.searchParams.get('after');
      const rest = this.#itemsUnder(prefix)
        .filter(({Key}) => after === null || Key > after)
        .toSorted((a, b) => (a.Key < b.Key ? -1 : 1));
      const items = rest.slice(0, this.pageSize);
      const HasMore = this.repeatsAnswers || rest.length > items.length;
      send(res, 200, {items, HasMore, AsOf: this.#revision});
      this.onPage?.();
    },
    'GET /kv-watch': (url, _, res) => this.#watch(url, res),
    'POST /kv-txn': (_, body, res) => {
      const {Writes} = JSON.parse(body) as {readonly Writes: readonly Write[]};
      Writes.forEach(write => this.write(write));
      send(res, 200, {Revision: this.#revision});
    },
    'POST /kv-lease': (_, body, res) => {
      const {TtlMs} = JSON.parse(body) as {readonly TtlMs: number};
      this.#lastLease += 1;
      this.#leases.add(this.#lastLease);
      send(res, 200, {Lease: this.#lastLease, TtlMs});
    },
    'POST /kv-keep': (url, _, res) => {
      const lease = Number(url.pathname.split('/').at(-1));
      send(res, this.#leases.has(lease) ? 200 : 404, {});
    },
    'DELETE /kv-lease-end': (url, _, res) => {
      this.#endLease(Number(url.pathname.split('/').at(-1)));
      send(res, 200, {});
    },
  };

  constructor({watchDelayMs = 10}: PlatformStoreOptions = {}) {
    this.#watchDelayMs = watchDelayMs;
  }

  start(): Promise<string> {
    return listen(this.#server, ANY_PORT, 'store');
  }

  stop(): void {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an item as the operators or a daemon would. */
  write({Key, Value, Lease = 0}: Write): void {
    this.#revision += 1;
    const item = {Key, Value, Lease, Revision: this.#revision};
    this.#items.set(Key, item);
    this.#history = [...this.#history, item];
  }

  /** Removes an item as the operators would. */
  remove(key: string): void {
    this.#remove(key);
  }

  /** Writes a configuration document as the operators do. */
  writeConfiguration(document: string): void {
    const Value = Buffer.from(document).toString('base64');
    this.write({Key: CONFIGURATION_KEY, Value});
  }

  /** Keeps a copy of the current state. */
  keepCopy(): void {
    this.#copy = {
      items: new Map(this.#items),
      leases: new Set(this.#leases),
      history: this.#history,
      lastLease: this.#lastLease,
      revision: this.#revision,
    };
  }

  /** Replaces the state with the copy; open watches never get a response. */
  restoreCopy(): void {
    if (!this.#copy) throw new Error('no copy was kept');
    const {items, leases, history, lastLease, revision} = this.#copy;
    this.#items = new Map(items);
    this.#leases = new Set(leases);
    this.#history = history;
    this.#lastLease = lastLease;
    this.#revision = revision;
    this.#era += 1;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Lists the keys under a prefix. */
  keys(prefix: string): readonly string[] {
    return this.#itemsUnder(prefix).map(({Key}) => Key);
  }

  /** Advances the revision, as another change would, and drops all history. */
  dropHistory(): void {
    this.#revision += 1;
    this.#historyStartRevision = this.#revision;
  }

  /** Ends all leases and removes their items. */
  endAllLeases(): void {
    [...this.#leases].forEach(lease => this.#endLease(lease));
  }

  /** Closes every connection, as an outage does. */
  cutConnections(): void {
    this.#server.closeAllConnections();
  }

  #endLease(lease: number): void {
    this.#leases.delete(lease);
    [...this.#items.values()]
      .filter(({Lease}) => Lease === lease)
      .forEach(({Key}) => this.#remove(Key));
  }

  #remove(Key: string): void {
    this.#items.delete(Key);
    this.#revision += 1;
    const change = {Key, Revision: this.#revision, Removed: true} as const;
    this.#history = [...this.#history, change];
  }

  #itemsUnder(prefix: string): readonly Item[] {
    return [...this.#items.values()].filter(({Key}) => Key.startsWith(prefix));
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    const url = new URL(req.url ?? '/', 'http://store');
    const [, call] = url.pathname.split('/');
    const prefix = url.searchParams.get('PathPrefix') ?? '';
    const isStale = url.searchParams.has('AllowStale');
    const atMs = performance.now();
    this.calls.push({operation: call ?? '', prefix, isStale, atMs});
    const isOneItem = call === 'kv-range' && this.#items.has(prefix);
    if (isOneItem || call === 'kv-watch') this.reads += 1;
    const handle = this.#handlers[`${req.method} /${call}`];
    const eraField = this.eraField ?? String(this.#era);
    if (eraField !== NO_ERA) res.setHeader('store-era', eraField);
    if (this.isSilent) return;
    if (this.isUnavailable) return void res.writeHead(503).end();
    if (!handle) return void res.writeHead(400).end();
    if (call !== 'kv-watch' && this.delayMs > 0) await sleep(this.delayMs);
    await handle(url, Buffer.concat(chunks).toString(), res);
  }

  async #watch(url: URL, res: ServerResponse): Promise<void> {
    const prefix = url.searchParams.get('PathPrefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endAtMs = performance.now() + Number(url.searchParams.get('WaitMs'));
    const era = this.#era;
    if (this.repeatsAnswers) {
      return send(res, 200, {events: this.#history.slice(-1), AsOf: after});
    }
    while (performance.now() < endAtMs && !res.destroyed) {
      if (this.isSilent || era !== this.#era) return;
      const isKnown =
        after >= this.#historyStartRevision && after <= this.#revision;
      if (!isKnown) return send(res, 410, {});
      const events = this.#history.filter(
        ({Key, Revision}) => Revision > after && Key.startsWith(prefix),
      );
      if (events.length > 0 || this.answersWatchesAtOnce) {
        return send(res, 200, {events, AsOf: this.#revision});
      }
      await sleep(this.#watchDelayMs);
    }
    send(res, 200, {events: [], AsOf: this.#revision});
  }
}

function send(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
