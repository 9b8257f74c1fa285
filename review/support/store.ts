/**
 * A stand-in for the platform's store, written from its published protocol:
 * items, leases that expire, ranges and watches.
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {listen} from './listen.js';

interface Item {
  readonly Key: string;
  readonly Value: string;
  readonly Revision: number;
  readonly Created: number;
  readonly Lease: number;
}

type Change =
  | Item
  | {readonly Key: string; readonly Revision: number; readonly Removed: true};

interface Write {
  readonly Key: string;
  readonly Value: string;
  readonly Lease?: number;
}

interface Transaction {
  readonly Precondition?: readonly {
    readonly Key: string;
    readonly Revision: number;
  }[];
  readonly Writes?: readonly Write[];
  readonly DeleteKeys?: readonly string[];
}

interface Lease {
  readonly ttlMs: number;
  endsAtMs: number;
}

type Handler = (url: URL, body: string, res: ServerResponse) => void;

const LEASE_CHECK_MS = 50;
const WATCH_POLL_MS = 5;

export class Store {
  readonly #items = new Map<string, Item>();
  readonly #leases = new Map<number, Lease>();
  readonly #history: Change[] = [];
  #revision = 1;
  #lastLease = 0;
  #leaseTimer: NodeJS.Timeout | undefined;
  readonly #server = createServer((req, res) => void this.#serve(req, res));

  readonly #handlers: Readonly<Record<string, Handler | undefined>> = {
    'GET /kv-key': (url, _, res) => {
      const item = this.#items.get(url.searchParams.get('Key') ?? '');
      if (item) return send(res, 200, {...item, AsOf: this.#revision});
      send(res, 404, {AsOf: this.#revision});
    },
    'GET /kv-range': (url, _, res) => {
      const prefix = url.searchParams.get('PathPrefix') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const items = [...this.#items.values()]
        .filter(({Key}) => Key.startsWith(prefix) && Key > after)
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      send(res, 200, {items, HasMore: false, AsOf: this.#revision});
    },
    'GET /kv-watch': (url, _, res) => void this.#watch(url, res),
    'POST /kv-txn': (_, body, res) => {
      this.#transact(JSON.parse(body) as Transaction, res);
    },
    'POST /kv-lease': (_, body, res) => {
      const {TtlMs} = JSON.parse(body) as {readonly TtlMs: number};
      this.#lastLease += 1;
      const endsAtMs = performance.now() + TtlMs;
      this.#leases.set(this.#lastLease, {ttlMs: TtlMs, endsAtMs});
      send(res, 200, {Lease: this.#lastLease, TtlMs});
    },
    'POST /kv-keep': (url, _, res) => {
      const lease = this.#leases.get(idOf(url));
      if (!lease) return send(res, 404, {});
      lease.endsAtMs = performance.now() + lease.ttlMs;
      send(res, 200, {TtlMs: lease.ttlMs});
    },
    'DELETE /kv-lease-end': (url, _, res) => {
      this.#endLease(idOf(url));
      send(res, 200, {});
    },
  };

  /** Resolves to the store's address. */
  async start(): Promise<string> {
    this.#leaseTimer = setInterval(() => {
      const nowMs = performance.now();
      [...this.#leases]
        .filter(([, {endsAtMs}]) => endsAtMs < nowMs)
        .forEach(([id]) => this.#endLease(id));
    }, LEASE_CHECK_MS);
    return listen(this.#server);
  }

  stop(): void {
    clearInterval(this.#leaseTimer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes an item as the operator does; the return is the acknowledgement. */
  writeText(key: string, text: string): void {
    this.#write({Key: key, Value: Buffer.from(text).toString('base64')});
  }

  keys(prefix: string): readonly string[] {
    return [...this.#items.keys()].filter(key => key.startsWith(prefix));
  }

  #write({Key, Value, Lease = 0}: Write): void {
    this.#revision += 1;
    const Revision = this.#revision;
    const Created = this.#items.get(Key)?.Created ?? Revision;
    const item = {Key, Value, Lease, Revision, Created};
    this.#items.set(Key, item);
    this.#history.push(item);
  }

  #remove(Key: string): void {
    if (!this.#items.delete(Key)) return;
    this.#revision += 1;
    this.#history.push({Key, Revision: this.#revision, Removed: true});
  }

  #endLease(id: number): void {
    this.#leases.delete(id);
    [...this.#items.values()]
      .filter(({Lease}) => Lease === id)
      .forEach(({Key}) => this.#remove(Key));
  }

  #transact(transaction: Transaction, res: ServerResponse): void {
    const {Precondition = [], Writes = [], DeleteKeys = []} = transaction;
    const isUnmet = Precondition.some(({Key, Revision}) => {
      return (this.#items.get(Key)?.Revision ?? 0) !== Revision;
    });
    if (isUnmet) return send(res, 412, {items: []});
    const hasNoLease = Writes.some(({Lease = 0}) => {
      return Lease !== 0 && !this.#leases.has(Lease);
    });
    if (hasNoLease) return send(res, 404, {});
    Writes.forEach(write => this.#write(write));
    DeleteKeys.forEach(key => this.#remove(key));
    send(res, 200, {Revision: this.#revision});
  }

  async #watch(url: URL, res: ServerResponse): Promise<void> {
    const prefix = url.searchParams.get('PathPrefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const endAtMs = performance.now() + Number(url.searchParams.get('WaitMs'));
    let events: readonly Change[] = [];
    while (events.length === 0 && performance.now() < endAtMs) {
      if (res.destroyed) return;
      events = this.#history.filter(
        ({Key, Revision}) => Revision > after && Key.startsWith(prefix),
      );
      if (events.length === 0) {
        await new Promise(resolve => setTimeout(resolve, WATCH_POLL_MS));
      }
    }
    send(res, 200, {events, AsOf: this.#revision});
  }

  async #serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
    const url = new URL(req.url ?? '/', 'http://store');
    const [, call] = url.pathname.split('/');
    const handle = this.#handlers[`${req.method} /${call}`];
    res.setHeader('store-era', '1');
    if (!handle) return send(res, 400, {});
    handle(url, Buffer.concat(chunks).toString(), res);
  }
}

function idOf(url: URL): number {
  return Number(url.pathname.split('/').at(-1));
}

function send(res: ServerResponse, status: number, body: unknown): void {
  if (res.destroyed) return;
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(JSON.stringify(body));
}
