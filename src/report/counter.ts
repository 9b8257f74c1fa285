/**
 * Counts the verdicts of one daemon by minute, service and customer. The
 * history is bounded both by age and by the number of cells. If the limit on
 * cells drops counts before they reach the maximum age, `completeFromMs` is the
 * time from which the history is complete.
 */
import {addCounts, VERDICTS, type Verdict} from './verdict.js';
import type {Cell, Span, Statement} from './messages.js';

/** Maximum age of a count: the longest window of the report. */
export const HISTORY_MS = 6 * 60 * 60 * 1000;

const MINUTE_MS = 60_000;
const MAX_CELLS = 20_000;

interface MutableCell {
  readonly service: string;
  readonly customer: string;
  readonly counts: number[];
}

type Minute = Map<string, MutableCell>;

/** Counts of this daemon, including those of earlier processes with its id. */
export class BurnCounter {
  readonly #daemon: string;
  readonly #clock: () => number;
  readonly #minutes = new Map<number, Minute>();
  readonly #own: Span;
  #past: readonly Span[] = [];
  #cellCount = 0;
  #completeFromMs = 0;

  constructor(
    daemon: string,
    incarnation: number,
    clock: () => number = Date.now,
  ) {
    this.#daemon = daemon;
    this.#clock = clock;
    this.#own = {incarnation, fromMs: clock(), untilMs: clock()};
  }

  /** Counts one request in the current minute. */
  count(service: string, customer: string, verdict: Verdict): void {
    const minute = Math.floor(this.#clock() / MINUTE_MS);
    const {counts} = this.#cellAt(minute, service, customer);
    const index = VERDICTS.indexOf(verdict);
    counts[index] = (counts[index] ?? 0) + 1;
  }

  /**
   * Adds the counts of an earlier process with this id. A statement with an
   * incarnation that is already covered is ignored, so none is counted twice.
   */
  inherit(statement: Statement): void {
    const covered = this.spans().map(span => span.incarnation);
    const known = statement.spans.some(s => covered.includes(s.incarnation));
    if (known || statement.daemon !== this.#daemon) return;
    this.#past = [...this.#past, ...statement.spans];
    statement.cells.forEach(cell => {
      const {counts} = this.#cellAt(cell.minute, cell.service, cell.customer);
      const sums = addCounts(counts, cell.counts);
      counts.splice(0, counts.length, ...sums);
    });
  }

  /** Returns the time spans that the counts cover, the newest last. */
  spans(): readonly Span[] {
    return [...this.#past, {...this.#own, untilMs: this.#clock()}];
  }

  /** Returns all counts in the form that is sent to others. */
  statement(): Statement {
    this.#dropOld();
    const cells = [...this.#minutes].flatMap(([minute, cellsOfMinute]) =>
      [...cellsOfMinute.values()].map((cell): Cell => ({minute, ...cell})),
    );
    return {
      daemon: this.#daemon,
      spans: this.spans(),
      completeFromMs: this.#completeFromMs,
      cells,
    };
  }

  #cellAt(minute: number, service: string, customer: string): MutableCell {
    const cells = this.#minutes.get(minute) ?? new Map<string, MutableCell>();
    if (cells.size === 0) this.#minutes.set(minute, cells);
    const key = `${service}\n${customer}`;
    const known = cells.get(key);
    if (known) return known;
    const cell = {service, customer, counts: VERDICTS.map(() => 0)};
    cells.set(key, cell);
    this.#cellCount += 1;
    if (this.#cellCount > MAX_CELLS) this.#dropOldest(minute);
    return cell;
  }

  #dropOld(): void {
    const first = Math.floor((this.#clock() - HISTORY_MS) / MINUTE_MS);
    [...this.#minutes.keys()]
      .filter(minute => minute < first)
      .forEach(minute => this.#dropMinute(minute));
  }

  /** Drops the oldest minute to free cells, but never the one being counted. */
  #dropOldest(keep: number): void {
    this.#dropOld();
    const oldest = Math.min(...this.#minutes.keys());
    if (this.#cellCount <= MAX_CELLS || oldest === keep) return;
    this.#dropMinute(oldest);
    this.#completeFromMs = (oldest + 1) * MINUTE_MS;
  }

  #dropMinute(minute: number): void {
    this.#cellCount -= this.#minutes.get(minute)?.size ?? 0;
    this.#minutes.delete(minute);
  }
}
