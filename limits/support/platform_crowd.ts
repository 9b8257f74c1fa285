/**
 * A crowd of callers outside the limits, each on a connection of its own. They
 * send as fast as the daemon reads, and keep their connections open.
 */
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';

/** The limit of the tests' configuration. */
export const MAX_BODY_BYTES = 1_048_576;
/** Path of responses of `LARGE_RESPONSE_BYTES`. */
export const LARGE_PATH = '/app/large';
export const LARGE_RESPONSE_BYTES = 8_000_000;
/** Path of responses of `MEDIUM_RESPONSE_BYTES`. */
export const MEDIUM_PATH = '/app/medium';
export const MEDIUM_RESPONSE_BYTES = 540_000;

const BODY_BYTES = 1_000_000;
const PIECES = 20;
const PIECE_PAUSE_MS = 50;
const LARGE_CHUNK_BYTES = 65_536;
const LARGE_CHUNKS = 15;
const ONE_BYTE_CHUNKS = 1_000_000;
const ONE_BYTE_CHUNKS_PER_WRITE = 50_000;
const FAR_OVER_BYTES = 64 * MAX_BODY_BYTES;
const FAR_OVER_SENT_BYTES = 4 * MAX_BODY_BYTES;
const ANNOUNCED_BYTES = 1_000_000_000;
const ANNOUNCED_SENT_BYTES = 1024;
const HEADER_PAUSE_MS = 100;
const HEARTBEAT_BYTES = 60_000;
const HEARTBEAT_START = 'POST /Instances.Heartbeat/i-1';

const ZEROS = Buffer.alloc(FAR_OVER_SENT_BYTES);
const LARGE_CHUNK = Buffer.concat([
  Buffer.from(`${LARGE_CHUNK_BYTES.toString(16)}\r\n`),
  ZEROS.subarray(0, LARGE_CHUNK_BYTES),
  Buffer.from('\r\n'),
]);
const SMALL_CHUNKS = Buffer.from(
  '1\r\nx\r\n'.repeat(ONE_BYTE_CHUNKS_PER_WRITE),
);

/** Listeners by the kind of crowd; the others use the callers' listener. */
const LISTENERS: Readonly<Partial<Record<string, keyof Listens>>> = {
  'header fields without end to the metrics listener': 'metrics',
  'heartbeats that stop one byte short': 'announcements',
};

/** Addresses of a daemon's listeners. */
export type Listens = Readonly<
  Record<
    'callers' | 'readiness' | 'announcements' | 'peers' | 'metrics',
    string
  >
>;

let requests = 0;

function head(fields: readonly string[], start = 'POST /app/crowd'): string {
  requests += 1;
  return [
    `${start} HTTP/1.1`,
    'host: app.example',
    `${NAMES.requestId}: crowd-${requests}`,
    `${NAMES.deadline}: 20000`,
    ...fields,
    '',
  ].join('\r\n');
}

/** Writes; resolves once the system has taken the data. */
async function write(socket: Socket, data: Buffer | string): Promise<void> {
  if (socket.destroyed) return;
  if (!socket.write(data)) await once(socket, 'drain');
}

async function sendSized(
  socket: Socket,
  announcedBytes: number,
  sentBytes: number,
  start?: string,
): Promise<void> {
  const fields = [`content-length: ${announcedBytes}`];
  await write(socket, `${head(fields, start)}\r\n`);
  await write(socket, ZEROS.subarray(0, sentBytes));
}

async function sendChunks(
  socket: Socket,
  chunks: Buffer,
  writes: number,
): Promise<void> {
  await write(socket, `${head(['transfer-encoding: chunked'])}\r\n`);
  for (let sent = 0; sent < writes && !socket.destroyed; sent += 1) {
    await write(socket, chunks);
  }
}

async function sendFieldsWithoutEnd(socket: Socket): Promise<void> {
  await write(socket, head([]));
  while (!socket.destroyed) {
    await write(socket, 'x-more: value\r\n');
    await sleep(HEADER_PAUSE_MS);
  }
}

/** Sends a whole body. */
async function sendComplete(socket: Socket, bytes: number): Promise<void> {
  await write(socket, `${head([`content-length: ${bytes}`])}\r\n`);
  for (let sent = 0; sent < bytes && !socket.destroyed;) {
    const part = ZEROS.subarray(0, bytes - sent);
    await write(socket, part);
    sent += part.length;
  }
}

/** What one caller sends, by kind. */
const CROWD_KINDS: Readonly<Record<string, (socket: Socket) => Promise<void>>> =
  {
    'bodies that stop one byte short': socket =>
      sendSized(socket, BODY_BYTES, BODY_BYTES - 1),
    'bodies in pieces that stop one byte short': async socket => {
      await sendSized(socket, BODY_BYTES, 0);
      const pieceBytes = BODY_BYTES / PIECES;
      for (let piece = 1; piece <= PIECES; piece += 1) {
        const missingBytes = piece === PIECES ? 1 : 0;
        await write(socket, ZEROS.subarray(0, pieceBytes - missingBytes));
        await sleep(PIECE_PAUSE_MS);
      }
    },
    'chunked bodies in large chunks that stop short': socket =>
      sendChunks(socket, LARGE_CHUNK, LARGE_CHUNKS),
    'chunked bodies in one-byte chunks that stop short': socket =>
      sendChunks(
        socket,
        SMALL_CHUNKS,
        ONE_BYTE_CHUNKS / ONE_BYTE_CHUNKS_PER_WRITE,
      ),
    'bodies far over the limit': socket =>
      sendSized(socket, FAR_OVER_BYTES, FAR_OVER_SENT_BYTES),
    'announcements of bodies far over the limit': socket =>
      sendSized(socket, ANNOUNCED_BYTES, ANNOUNCED_SENT_BYTES),
    'header fields without end': sendFieldsWithoutEnd,
    'header fields without end to the metrics listener': sendFieldsWithoutEnd,
    'heartbeats that stop one byte short': socket =>
      sendSized(socket, HEARTBEAT_BYTES, HEARTBEAT_BYTES - 1, HEARTBEAT_START),
    'complete bodies of 1000000 bytes': socket =>
      sendComplete(socket, 1_000_000),
    'complete bodies of 2000000 bytes': socket =>
      sendComplete(socket, 2_000_000),
    'complete bodies of 15000000 bytes': socket =>
      sendComplete(socket, 15_000_000),
    "requests for large responses that they don't read": async socket => {
      socket.pause();
      await write(socket, `${head([], `GET ${LARGE_PATH}`)}\r\n`);
    },
  };

/** Callers that were started together. */
export class Crowd {
  readonly #sockets: readonly Socket[];
  /** Callers that have got data, or whose connection is closed. */
  readonly #settled = new Set<Socket>();

  constructor(kind: string, count: number, listens: Listens) {
    const send = CROWD_KINDS[kind];
    if (!send) throw new Error(`no such crowd: ${kind}`);
    const [host, port] = listens[LISTENERS[kind] ?? 'callers'].split(':');
    this.#sockets = Array.from({length: count}, () => {
      const socket = connect(Number(port), host);
      // The daemon may close it at any time.
      socket.on('error', () => socket.destroy());
      socket.on('data', () => this.#settled.add(socket));
      socket.on('close', () => this.#settled.add(socket));
      send(socket).catch(() => socket.destroy());
      return socket;
    });
  }

  /** Whether each caller was answered, or its connection closed. */
  get isSettled(): boolean {
    return this.#settled.size === this.#sockets.length;
  }

  end(): void {
    this.#sockets.forEach(socket => socket.destroy());
  }
}
