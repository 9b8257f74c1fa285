/** Writes what a script saw to `record.txt` in the folder of its case. */
import {writeFileSync} from 'node:fs';
import path from 'node:path';

/** Adds one line with the time since the start. */
export type Recorder = (line: string) => void;

/** The record of one script. */
export class Recording {
  readonly #file: string;
  readonly #lines: string[] = [];
  readonly #startMs = performance.now();

  constructor(folder: string) {
    this.#file = path.join(folder, 'record.txt');
  }

  readonly add: Recorder = line => {
    const atS = (performance.now() - this.#startMs) / 1000;
    this.#lines.push(`${atS.toFixed(3).padStart(8)} s  ${line}`);
  };

  write(): void {
    writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
  }
}
