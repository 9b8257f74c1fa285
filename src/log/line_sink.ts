/**
 * Log lines on their way to standard output. Lines are gathered for a moment
 * and written together by a call that never waits; while a reader is slow
 * they stay in a bounded buffer. What doesn't fit is dropped and counted, so
 * that a blocked reader costs lines, never time or memory.
 */
import {constants, fstatSync, openSync, writeSync} from 'node:fs';
import {Socket} from 'node:net';
import {reasonOf} from '../errors/failure.js';

/** What may wait for the reader. */
export const MAX_BUFFERED_BYTES = 256 * 1024;
/** How long lines are gathered before a write, in milliseconds. */
const FLUSH_DELAY_MS = 500;

/** Takes as many bytes as it can at once; returns how many. */
export type ByteWriter = (bytes: Buffer) => number;

/** Writes lines without ever blocking the caller. */
export class LineSink {
  readonly #write: ByteWriter;
  /** Bytes of lines that a write has begun or that wait for one. */
  #pendingBytes = Buffer.alloc(0);
  #lines: string[] = [];
  #pendingChars = 0;
  #dropped = 0;
  #isScheduled = false;

  constructor(write: ByteWriter) {
    this.#write = write;
  }

  /** Takes a line, or drops it if more than `mostBytes` would wait with it. */
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

  /** Writes what waits, as far as the reader takes it. */
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
 * A writer for standard output. A pipe is opened anew, so that it can be set
 * not to block without changing what other processes share.
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
    // Without a reader there is nobody to tell; the lines are dropped.
    return isFull ? 0 : bytes.length;
  }
}

/** Sockets can't be opened anew. */
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
