/**
 * Log lines on their way to standard output. Lines are gathered for a moment
 * and written together; while a reader is slow they wait in a bounded buffer.
 * What doesn't fit is dropped and counted, so that a blocked reader costs
 * lines, never time or memory.
 */
import {fstatSync, writeSync} from 'node:fs';
import {Socket} from 'node:net';

/** Lines that may wait, in characters. */
const MAX_BUFFERED_CHARS = 256 * 1024;
/** How long lines are gathered before a write, in milliseconds. */
const GATHER_MS = 250;

/** Takes bytes; calls back when there is room for more. */
export type ByteWriter = (text: string, done: () => void) => void;

/** Writes lines without ever blocking the caller. */
export class LineSink {
  readonly #write: ByteWriter;
  #lines: string[] = [];
  #chars = 0;
  #dropped = 0;
  #isBusy = false;

  constructor(write: ByteWriter) {
    this.#write = write;
  }

  add(line: string): void {
    if (this.#chars + line.length > MAX_BUFFERED_CHARS) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#chars += line.length + 1;
    if (!this.#isBusy) this.#schedule();
  }

  #schedule(): void {
    this.#isBusy = true;
    setTimeout(() => this.#flush(), GATHER_MS).unref();
  }

  #flush(): void {
    if (this.#dropped > 0) {
      const count = this.#dropped;
      this.#lines.push(JSON.stringify({event: 'log-lines-dropped', count}));
      this.#dropped = 0;
    }
    const text = `${this.#lines.join('\n')}\n`;
    this.#lines = [];
    this.#chars = 0;
    this.#write(text, () => {
      this.#isBusy = false;
      if (this.#lines.length > 0) this.#schedule();
    });
  }
}

/** A writer for a descriptor: files never block, pipes and sockets may. */
export function writerOf(fd: number): ByteWriter {
  const stat = fstatSync(fd);
  if (!stat.isFIFO() && !stat.isSocket()) {
    return (text, done) => {
      writeSync(fd, text);
      done();
    };
  }
  const socket = new Socket({fd, readable: false, writable: true});
  socket.unref();
  // Without a reader there is nobody to tell; lines are dropped from then on.
  socket.on('error', () => undefined);
  return (text, done) => void socket.write(text, () => done());
}
