/**
 * Stand-in for a backend server, with a fixed number of slots, a service time,
 * and faults that `PUT /faults` sets at run time. It announces itself to a
 * daemon and renews the announcement periodically. `GET /ran` lists each run
 * with its request id, and `GET /seen` reports whether the received bytes
 * contain a given text.
 *
 * Arguments: SERVICE ID ANNOUNCE_ADDRESS[,ADDRESS...] [SLOTS] [SERVICE_MS]
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from 'node:http';
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

interface Faults {
  /** Share of requests (without probes) that fail, 0 to 1. */
  readonly errorShare?: number;
  /** Replaces the service time, in milliseconds. */
  readonly serviceMs?: number;
  /** Multiplies the service time. */
  readonly slowFactor?: number;
  /** Requests (without probes) are accepted and never answered. */
  readonly hang?: boolean;
  /** Answers probes with this status, whatever the actual state. */
  readonly probeStatus?: number;
  /** Reports this load instead of the actual one. */
  readonly reportedBusy?: number;
  /** Runs the request, then closes the connection without a response. */
  readonly dropAnswer?: boolean;
  /** Runs the request, then sends these bytes instead of a response. */
  readonly rawAnswer?: keyof typeof RAW_ANSWERS;
  /**
   * Refuses the first request on each connection, and repeats that refusal
   * before the response to each later one, which runs.
   */
  readonly repeatsRefusals?: boolean;
  readonly draining?: boolean;
}

const REFUSAL =
  'HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n' +
  'x-overload: slots\r\ncontent-length: 0\r\n\r\n';

/** Connections on which the first request was refused. */
const refusedConnections = new WeakSet<Socket>();

/** Responses that aren't complete or not valid. */
const RAW_ANSWERS = {
  'cut within the head': socket => socket.end('HTTP/1.1 200 OK\r\ncontent-le'),
  'cut after a field': socket => socket.end('HTTP/1.1 200 OK\r\nx-a: 1\r\n'),
  'cut after an interim response': socket =>
    socket.end('HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nx-a: 1\r\n'),
  'with a faulty field name': socket =>
    socket.end('HTTP/1.1 200 OK\r\nX-Bad : 1\r\ncontent-length: 2\r\n\r\n{}'),
  'reset within a body without length': socket => {
    socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
} as const satisfies Readonly<Record<string, (socket: Socket) => unknown>>;

interface Run {
  readonly id: string;
  readonly customer: string;
  readonly method: string;
  readonly path: string;
  /** Milliseconds on the machine's monotonic clock. */
  readonly startedMs: number;
  readonly bodyBytes: number;
  finished: boolean;
}

const RENEW_INTERVAL_MS = 500;
const [
  service = 'service',
  id = 'instance',
  announce = '',
  slots = '3',
  ms = '5',
] = process.argv.slice(2);
const SLOTS = Number(slots);
const SERVICE_MS = Number(ms);

let faults: Faults = {};
let busy = 0;
let sequence = 0;
const runs: Run[] = [];
const received: Buffer[] = [];
let isKeepingBytes = false;

function nextRequestFails(): boolean {
  sequence += 1;
  const share = faults.errorShare ?? 0;
  return Math.floor(sequence * share) !== Math.floor((sequence - 1) * share);
}

async function readBodyLength(req: IncomingMessage): Promise<number> {
  let bytes = 0;
  for await (const chunk of req) bytes += (chunk as Buffer).length;
  return bytes;
}

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const {socket} = req;
  if (faults.repeatsRefusals && !refusedConnections.has(socket)) {
    refusedConnections.add(socket);
    req.resume();
    res.writeHead(503, {'retry-after': '1', 'x-overload': 'slots'}).end();
    return;
  }
  if (refusedConnections.has(socket)) socket.write(REFUSAL);
  if (busy >= SLOTS) {
    res.writeHead(503, {'retry-after': '1', 'x-overload': 'slots'});
    res.end();
    return;
  }
  busy += 1;
  const run = {
    id: String(req.headers['x-request-id'] ?? ''),
    customer: String(req.headers['x-customer'] ?? ''),
    method: req.method ?? '',
    path: req.url ?? '',
    startedMs: performance.timeOrigin + performance.now(),
    bodyBytes: 0,
    finished: false,
  };
  runs.push(run);
  try {
    const bodyBytes = await readBodyLength(req);
    if (faults.hang)
      await new Promise<void>(resolve => res.on('close', resolve));
    await sleep(
      Number(req.headers['x-work-ms'] ?? faults.serviceMs ?? SERVICE_MS) *
        (faults.slowFactor ?? 1),
    );
    if (res.destroyed) return;
    Object.assign(run, {bodyBytes, finished: true});
    if (faults.dropAnswer) return void res.destroy();
    if (faults.rawAnswer) return void RAW_ANSWERS[faults.rawAnswer](socket);
    sendAnswer(req, res, bodyBytes);
  } finally {
    busy -= 1;
  }
}

function sendAnswer(
  req: IncomingMessage,
  res: ServerResponse,
  bodyBytes: number,
) {
  const status = nextRequestFails() ? 500 : 200;
  const padding = 'x'.repeat(Number(req.headers['x-answer-bytes'] ?? 0));
  res.writeHead(status, {'content-type': 'application/json'});
  res.end(
    JSON.stringify({
      instance: id,
      request: req.headers['x-request-id'],
      echo: req.headers['x-echo'],
      path: req.url,
      bodyBytes,
      padding,
    }),
  );
}

async function setFaults(req: IncomingMessage, res: ServerResponse) {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  faults = JSON.parse(Buffer.concat(chunks).toString()) as Faults;
  await announceInstance().catch(() => undefined);
  res.end('{}');
}

const CONTROL: Readonly<
  Record<string, (req: IncomingMessage, res: ServerResponse) => unknown>
> = {
  '/faults': setFaults,
  '/ran': (_req, res) => res.end(JSON.stringify(runs)),
  '/keep-bytes': (_req, res) => {
    isKeepingBytes = true;
    res.end('{}');
  },
  '/seen': (req, res) => {
    // Hexadecimal, because this query itself is among the received bytes.
    const hex = new URL(req.url ?? '', 'http://x').searchParams.get('hex');
    const text = Buffer.from(hex ?? '', 'hex');
    const seen = Buffer.concat(received).includes(text);
    res.end(JSON.stringify({seen}));
  },
  '/health': (_req, res) => {
    setTimeout(() => {
      res.writeHead(faults.probeStatus ?? 200, {
        'content-type': 'application/json',
      });
      res.end(
        JSON.stringify({status: 'ok', busy: faults.reportedBusy ?? busy}),
      );
    }, 25);
  },
};

const server = createServer((req, res) => {
  const path = (req.url ?? '').split('?')[0] ?? '';
  const handler = CONTROL[path] ?? handleRequest;
  Promise.resolve(handler(req, res)).catch(() => res.destroy());
});
server.on('connection', (socket: Socket) => {
  socket.prependListener('data', chunk => {
    if (isKeepingBytes) received.push(chunk);
  });
});

let addressIndex = 0;
const daemons = announce.split(',').filter(text => text !== '');

async function announceInstance(): Promise<void> {
  const daemon = daemons[addressIndex % daemons.length];
  const address = server.address();
  if (!daemon || address === null || typeof address === 'string') return;
  try {
    const res = await fetch(`http://${daemon}/v1/instances/${id}`, {
      method: 'PUT',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({
        service,
        address: `127.0.0.1:${address.port}`,
        slots: SLOTS,
        format: 'json-status',
        probePath: '/health',
        draining: faults.draining ?? false,
      }),
      signal: AbortSignal.timeout(1000),
    });
    if (!res.ok) addressIndex += 1;
  } catch {
    addressIndex += 1;
  }
}

server.listen(0, '127.0.0.1', () => {
  const address = server.address();
  const port = typeof address === 'object' ? address?.port : 0;
  process.stdout.write(`listening ${port}\n`);
  void announceInstance();
  setInterval(() => void announceInstance(), RENEW_INTERVAL_MS);
});
process.on('SIGTERM', () => process.exit(0));
