/**
 * Structured decision log: one JSON object a line for each decision that
 * touches a request or changes what the daemon believes. Ordinary lines are
 * limited per second; refusals and failures have an allowance of their own,
 * so that a busy second can't hide them. Printed through consola.
 */
import {createConsola, type ConsolaInstance} from 'consola';
import {LineSink, MAX_BUFFERED_BYTES, stdoutWriter} from './line_sink.js';

/** Values of a line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** What a part needs to tell its decisions. */
export interface DecisionLog {
  /** An ordinary step of a request; the first to be left out under load. */
  step(event: string, fields: LogFields): void;
  /** A refusal or failure that a caller sees. */
  failure(event: string, fields: LogFields): void;
  /** A change of what this daemon believes, or of its own life. */
  belief(event: string, fields: LogFields): void;
}

/** The kinds of lines and how many of each are kept in one second. */
const LINES_PER_S = {step: 40, failure: 200, belief: 100} as const;
type Kind = keyof typeof LINES_PER_S;

/** What may wait for a slow reader; ordinary lines leave room for the rest. */
const MAX_BUFFERED_BYTES_BY_KIND: Readonly<Record<Kind, number>> = {
  step: MAX_BUFFERED_BYTES / 2,
  failure: MAX_BUFFERED_BYTES,
  belief: MAX_BUFFERED_BYTES,
};

const SECOND_MS = 1000;

/** Lines of one kind in the present second. */
interface LineCounter {
  secondStartedAtMs: number;
  kept: number;
  leftOut: number;
}

/** The decision log of a process; `vm` names it on each line. */
export class StdoutDecisionLog implements DecisionLog {
  readonly #consola: ConsolaInstance;
  readonly #sink: LineSink;
  readonly #vm: string;
  readonly #counters: Readonly<Record<Kind, LineCounter>> = {
    step: {secondStartedAtMs: 0, kept: 0, leftOut: 0},
    failure: {secondStartedAtMs: 0, kept: 0, leftOut: 0},
    belief: {secondStartedAtMs: 0, kept: 0, leftOut: 0},
  };

  constructor(vm: string, sink = new LineSink(stdoutWriter())) {
    this.#vm = vm;
    this.#sink = sink;
    this.#consola = createConsola({
      throttle: 0,
      reporters: [
        {
          log: ({args: [line, maxBytes]}) =>
            this.#sink.add(String(line), Number(maxBytes)),
        },
      ],
    });
  }

  step(event: string, fields: LogFields): void {
    this.#line('step', event, fields);
  }

  failure(event: string, fields: LogFields): void {
    this.#line('failure', event, fields);
  }

  belief(event: string, fields: LogFields): void {
    this.#line('belief', event, fields);
  }

  /** Writes what waits, before the process ends. */
  flush(): void {
    this.#sink.flush();
  }

  #line(kind: Kind, event: string, fields: LogFields): void {
    const nowMs = performance.now();
    const counter = this.#counters[kind];
    if (nowMs - counter.secondStartedAtMs >= SECOND_MS) {
      const {leftOut} = counter;
      Object.assign(counter, {secondStartedAtMs: nowMs, kept: 0, leftOut: 0});
      if (leftOut > 0) this.#print(kind, 'log-limited', {kind, leftOut});
    }
    if (counter.kept >= LINES_PER_S[kind]) {
      counter.leftOut += 1;
      return;
    }
    counter.kept += 1;
    this.#print(kind, event, fields);
  }

  #print(kind: Kind, event: string, fields: LogFields): void {
    const atMs = Math.round(performance.now());
    const time = new Date().toISOString();
    const line = {time, atMs, vm: this.#vm, event, ...fields};
    this.#consola.log(JSON.stringify(line), MAX_BUFFERED_BYTES_BY_KIND[kind]);
  }
}
