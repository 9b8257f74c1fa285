/** The record of a run: what was sent, answered and run, with the time. */
import {writeFileSync} from 'node:fs';

export class Record {
  readonly #lines: string[] = [];
  readonly #file: string;
  readonly #startedAtMs = performance.now();

  constructor(file: string) {
    this.#file = file;
  }

  /** Time since the start of the run, in milliseconds. */
  get nowMs(): number {
    return performance.now() - this.#startedAtMs;
  }

  add(text: string): void {
    const seconds = (this.nowMs / 1000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} ${text}`);
  }

  save(): void {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
