/**
 * Writes log lines to standard output in batches, without blocking. While the
 * reader is slow, lines stay in a bounded buffer. Lines that don't fit are
 * dropped and counted, so that a blocked reader causes lost lines but neither
 * delays nor memory growth.
 */
import {constants, fstatSync, openSync, writeSync} from 'node:fs';
import {Socket} from 'node:net';
import {reasonOf} from '../errors/failure.js';

/** Limit of the bytes that are buffered for the reader. */
export const MAX_BUFFERED_BYTES = 256 * 1024;
/** How long lines are collected before they are written. */
const FLUSH_DELAY_MS = 500;

/** Writes as many bytes as possible without blocking; returns the count. */
export type ByteWriter = (bytes: Buffer) => number;

/** A bounded buffer of lines; no method blocks the caller. */
export class LineSink {
  readonly #write: ByteWriter;
  /** Bytes that earlier writes have left over. */
  #pendingBytes = Buffer.alloc(0);
  #lines: string[] = [];
  #pendingChars = 0;
  #dropped = 0;
  #isScheduled = false;

  constructor(write: ByteWriter) {
    this.#write = write;
  }

  /** Adds a line, or drops it if the buffer would exceed `maxBytes`. */
  add(line: string, maxBytes = MAX_BUFFERED_BYTES): void {
    const waiting = this.#pendingBytes.length + this.#pendingChars;
    if (waiting + line.length > maxBytes) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#pendingChars += line.length + 1;
    this.#schedule();
  }

  /** Writes as much of the buffer as the reader accepts. */
  flush(): void {
    if (this.#dropped > 0) {
      const count = this.#dropped;
      this.#lines.push(JSON.stringify({event: 'log-lines-dropped', count}));
      this.#dropped = 0;
    }
    const text = this.#lines.map(line => `${line}\n`).join('');
    this.#lines = [];
    this.#pendingChars = 0;
    const bytes = Buffer.concat([this.#pendingBytes, Buffer.from(text)]);
    this.#pendingBytes = bytes.subarray(this.#write(bytes));
    if (this.#pendingBytes.length > 0) this.#schedule();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setTimeout(() => {
      this.#isScheduled = false;
      this.flush();
    }, FLUSH_DELAY_MS).unref();
  }
}

const STDOUT_FD = 1;

/**
 * A writer for standard output. A pipe is reopened, since `O_NONBLOCK` on the
 * inherited descriptor would also apply to the processes that share it.
 */
export function stdoutWriter(): ByteWriter {
  const stat = fstatSync(STDOUT_FD);
  if (stat.isSocket()) return socketWriter();
  if (!stat.isFIFO()) return bytes => writeNow(STDOUT_FD, bytes);
  const flags = constants.O_WRONLY | constants.O_NONBLOCK;
  const fd = openSync(`/proc/self/fd/${STDOUT_FD}`, flags);
  return bytes => writeNow(fd, bytes);
}

function writeNow(fd: number, bytes: Buffer): number {
  try {
    return writeSync(fd, bytes);
  } catch (err) {
    const isFull =
      err instanceof Error && 'code' in err && err.code === 'EAGAIN';
    // After other errors there is no reader, so the lines are dropped.
    return isFull ? 0 : bytes.length;
  }
}

/** Unlike a pipe, a socket can't be reopened, so the fd itself is used. */
function socketWriter(): ByteWriter {
  const socket = new Socket({fd: STDOUT_FD, readable: false, writable: true});
  socket.unref();
  let socketError: string | undefined;
  socket.on('error', err => (socketError = reasonOf(err)));
  return bytes => {
    if (socketError === undefined && socket.writableNeedDrain) return 0;
    if (socketError === undefined) socket.write(bytes);
    return bytes.length;
  };
}
