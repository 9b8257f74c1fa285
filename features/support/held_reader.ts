/** A reader of log lines that takes nothing until it is told to. */
import {StdoutDecisionLog} from '../../src/log/decision_log.js';
import {LineSink} from '../../src/log/line_sink.js';

/** The reader, with the log whose lines it will read. */
export class HeldReader {
  readonly sink = new LineSink(bytes => this.#take(bytes));
  readonly log = new StdoutDecisionLog('held', this.sink);
  #offered = 0;
  #text = '';
  #isReading = false;

  /** Characters that wait, as of the last write. */
  get waiting(): number {
    this.sink.flush();
    return this.#offered;
  }

  /** Reads all that waits. */
  read(): string {
    this.#isReading = true;
    this.sink.flush();
    return this.#text;
  }

  #take(bytes: Buffer): number {
    this.#offered = bytes.length;
    if (!this.#isReading) return 0;
    this.#text += bytes.toString();
    return bytes.length;
  }
}
