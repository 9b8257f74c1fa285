/**
 * Structured decision log: one JSON object per line for each decision about a
 * request and each change of the daemon's state or of its view of the fleet.
 * Ordinary lines are limited per second. Refusals and failures have a separate
 * limit, so that ordinary lines can't displace them in a busy second. Printed
 * through consola.
 */
import {createConsola, type ConsolaInstance} from 'consola/core';
import {LineSink, MAX_BUFFERED_BYTES, stdoutWriter} from './line_sink.js';

/** Fields of a line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** The log as the parts of a daemon use it. */
export interface DecisionLog {
  /** An ordinary step of a request; omitted first under load. */
  step(event: string, fields: LogFields): void;
  /** A refusal or failure that a caller sees. */
  failure(event: string, fields: LogFields): void;
  /** A change of this daemon's view of the fleet, or of its own state. */
  belief(event: string, fields: LogFields): void;
}

/** The kinds of lines, with the limit of lines per second for each. */
const LINES_PER_S = {step: 40, failure: 200, belief: 100} as const;
type Kind = keyof typeof LINES_PER_S;

/**
 * How many bytes may be buffered for a slow reader when a line of each kind is
 * added. Ordinary lines leave half of the buffer to the other kinds.
 */
const MAX_BUFFERED_BYTES_BY_KIND: Readonly<Record<Kind, number>> = {
  step: MAX_BUFFERED_BYTES / 2,
  failure: MAX_BUFFERED_BYTES,
  belief: MAX_BUFFERED_BYTES,
};

const SECOND_MS = 1000;

/** Counts the lines of one kind in the current second. */
interface LineCounter {
  secondStartedAtMs: number;
  kept: number;
  leftOut: number;
}

/** The decision log of a process; each line contains `vm`, its VM. */
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

  /** Writes the buffered lines; called before the process ends. */
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
