/**
 * Stand-in for the platform's key-value service: one process, in memory, over
 * HTTP and JSON. `PUT /faults` sets its faults at run time:
 * - `outage` closes the connection of every call without a response.
 * - `delayMs` delays every call.
 * - `loseAnswers` applies that many writes and drops their responses.
 * - `staleReads` serves reads from the state at the time when it was set.
 * - `outageAfter` applies a write of that key and then starts an outage.
 *
 * `GET /counts` returns the number of calls of each kind.
 */
import {randomUUID} from 'node:crypto';
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

interface Entry {
  readonly key: string;
  readonly value: string;
  readonly version: number;
  readonly leaseId?: string;
}

interface Faults {
  readonly outage?: boolean;
  readonly delayMs?: number;
  /** Number of next writes that take effect but whose response is dropped. */
  readonly loseAnswers?: number;
  readonly staleReads?: boolean;
  /** The next write of this key takes effect and starts an outage. */
  readonly outageAfter?: string;
}

interface Change {
  readonly key: string;
  readonly value: string | undefined;
  readonly version: number;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const MAX_VALUE_BYTES = 1_000_000;
const TOKEN = process.env['KV_TOKEN'] ?? 'stand-in-store-token';

let revision = 0;
let values = new Map<string, Entry>();
let staleValues: ReadonlyMap<string, Entry> | undefined;
let faults: Faults = {};
const history: Change[] = [];
const leases = new Map<string, {ttlMs: number; timer: NodeJS.Timeout}>();
const watchers = new Set<() => void>();
const counts = new Map<string, number>();

function applyWrite(key: string, value: string | undefined, leaseId?: string) {
  revision += 1;
  values = new Map(values);
  if (value === undefined) values.delete(key);
  else values.set(key, {key, value, version: revision, leaseId});
  history.push({key, value, version: revision});
  watchers.forEach(wake => wake());
  return revision;
}

function compareAndSwap(
  key: string,
  expected: number,
  value?: string,
  leaseId?: string,
) {
  const current = values.get(key);
  if ((current?.version ?? 0) !== expected) {
    return {status: 412, body: {swapped: false, current}};
  }
  const version = applyWrite(key, value, leaseId);
  return {status: 200, body: {swapped: true, version}};
}

function endLease(id: string): void {
  clearTimeout(leases.get(id)?.timer);
  leases.delete(id);
  [...values.values()]
    .filter(entry => entry.leaseId === id)
    .forEach(entry => applyWrite(entry.key, undefined));
}

function startLease(id: string, ttlMs: number): Answer {
  clearTimeout(leases.get(id)?.timer);
  leases.set(id, {ttlMs, timer: setTimeout(() => endLease(id), ttlMs)});
  return {status: 200, body: {id}};
}

async function watch(url: URL): Promise<Answer> {
  const prefix = url.searchParams.get('prefix') ?? '';
  const after = Number(url.searchParams.get('after'));
  const until = Date.now() + Number(url.searchParams.get('waitMs'));
  const find = () =>
    history.filter(c => c.version > after && c.key.startsWith(prefix));
  while (find().length === 0 && Date.now() < until) {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, until - Date.now());
      const wake = () => {
        clearTimeout(timer);
        resolve();
      };
      watchers.add(wake);
      setTimeout(() => watchers.delete(wake), until - Date.now() + 1);
    });
  }
  return {status: 200, body: {revision, events: find()}};
}

type Handler = (
  url: URL,
  body: Record<string, unknown>,
) => Answer | Promise<Answer>;

const HANDLERS: readonly (readonly [string, RegExp, Handler])[] = [
  [
    'GET',
    /^\/v1\/values\/[^/]+$/,
    url => {
      const entry = (staleValues ?? values).get(keyOf(url));
      return entry ? {status: 200, body: entry} : {status: 404, body: {}};
    },
  ],
  [
    'GET',
    /^\/v1\/values$/,
    url => {
      const prefix = url.searchParams.get('prefix') ?? '';
      const found = [...(staleValues ?? values).values()];
      return {
        status: 200,
        body: {values: found.filter(entry => entry.key.startsWith(prefix))},
      };
    },
  ],
  [
    'PUT',
    /^\/v1\/values\/[^/]+$/,
    (url, body) => {
      const value = String(body['value']);
      if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
        return {status: 413, body: {error: 'value too large'}};
      }
      const leaseId = body['leaseId'] as string | undefined;
      if (leaseId !== undefined && !leases.has(leaseId)) {
        return {status: 409, body: {error: 'lease lapsed'}};
      }
      return compareAndSwap(
        keyOf(url),
        Number(body['expected']),
        value,
        leaseId,
      );
    },
  ],
  [
    'DELETE',
    /^\/v1\/values\/[^/]+$/,
    url => compareAndSwap(keyOf(url), Number(url.searchParams.get('expected'))),
  ],
  [
    'POST',
    /^\/v1\/leases$/,
    (_url, body) => startLease(randomUUID(), Number(body['ttlMs'])),
  ],
  [
    'POST',
    /^\/v1\/leases\/[^/]+\/renewals$/,
    url => {
      const id = url.pathname.split('/')[3] ?? '';
      const lease = leases.get(id);
      return lease ? startLease(id, lease.ttlMs) : {status: 404, body: {}};
    },
  ],
  [
    'DELETE',
    /^\/v1\/leases\/[^/]+$/,
    url => {
      endLease(url.pathname.split('/')[3] ?? '');
      return {status: 200, body: {}};
    },
  ],
  ['GET', /^\/v1\/watch$/, url => watch(url)],
];

function keyOf(url: URL): string {
  return decodeURIComponent(url.pathname.slice('/v1/values/'.length));
}

async function readBody(
  req: IncomingMessage,
): Promise<Record<string, unknown>> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}

function send(res: ServerResponse, answer: Answer): void {
  res.writeHead(answer.status, {'content-type': 'application/json'});
  res.end(JSON.stringify(answer.body));
}

function shouldLoseAnswer(method: string): boolean {
  const left = faults.loseAnswers ?? 0;
  if (method === 'GET' || left === 0) return false;
  faults = {...faults, loseAnswers: left - 1};
  return true;
}

function startOutageAfterWrite(key: string): void {
  if (faults.outageAfter === key) faults = {outage: true};
}

async function serveStore(req: IncomingMessage, res: ServerResponse, url: URL) {
  const method = req.method ?? 'GET';
  if (faults.outage) return req.socket.destroy();
  if (req.headers.authorization !== `Bearer ${TOKEN}`) {
    return send(res, {status: 401, body: {error: 'bad token'}});
  }
  const entry = HANDLERS.find(
    ([verb, path]) => verb === method && path.test(url.pathname),
  );
  if (!entry) return send(res, {status: 404, body: {}});
  const label = `${method} ${url.pathname.split('/')[2] ?? ''}`;
  counts.set(label, (counts.get(label) ?? 0) + 1);
  const body = await readBody(req);
  if (faults.delayMs) await sleep(faults.delayMs);
  const answer = await entry[2](url, body);
  if (method === 'PUT' && answer.status === 200)
    startOutageAfterWrite(keyOf(url));
  if (faults.outage || shouldLoseAnswer(method)) return req.socket.destroy();
  return send(res, answer);
}

async function setFaults(req: IncomingMessage, res: ServerResponse) {
  faults = (await readBody(req)) as Faults;
  staleValues = faults.staleReads ? (staleValues ?? values) : undefined;
  if (faults.outage) watchers.forEach(wake => wake());
  send(res, {status: 200, body: faults});
}

const server = createServer((req, res) => {
  const url = new URL(req.url ?? '/', 'http://store');
  if (url.pathname === '/faults') return void setFaults(req, res);
  if (url.pathname === '/counts') {
    return send(res, {status: 200, body: Object.fromEntries(counts)});
  }
  serveStore(req, res, url).catch(() => req.socket.destroy());
});
const [host, port] = (process.argv[2] ?? '127.0.0.1:0').split(':');
server.listen(Number(port), host, () => {
  const address = server.address();
  const bound = typeof address === 'object' ? address?.port : 0;
  process.stdout.write(`listening ${bound}\n`);
});
process.on('SIGTERM', () => process.exit(0));
