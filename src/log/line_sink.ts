/**
 * Log lines on their way to a file descriptor. Lines wait in a bounded buffer
 * while one asynchronous write is under way, so that a reader that is slow or
 * blocked costs lines, never time or memory; a line then says how many.
 */
import {write} from 'node:fs';

/** Lines that may wait, in characters. */
const MAX_BUFFERED_CHARS = 256 * 1024;
/** How long lines are gathered before a write, in milliseconds. */
const GATHER_MS = 50;

/** Writes lines without ever blocking the caller. */
export class LineSink {
  readonly #fd: number;
  #lines: string[] = [];
  #chars = 0;
  #dropped = 0;
  #isBusy = false;

  constructor(fd: number) {
    this.#fd = fd;
  }

  /** Lines that were dropped and not yet reported. */
  get dropped(): number {
    return this.#dropped;
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
      this.#lines.push(
        JSON.stringify({event: 'log-lines-dropped', count: this.#dropped}),
      );
      this.#dropped = 0;
    }
    const bytes = Buffer.from(`${this.#lines.join('\n')}\n`);
    this.#lines = [];
    this.#chars = 0;
    this.#write(bytes);
  }

  #write(bytes: Buffer): void {
    write(this.#fd, bytes, (err, written) => {
      const rest = bytes.subarray(err ? bytes.length : written);
      if (rest.length > 0) return this.#write(rest);
      // A closed descriptor has no reader; later lines may find one again.
      this.#isBusy = false;
      if (this.#lines.length > 0) this.#schedule();
    });
  }
}
