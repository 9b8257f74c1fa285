/** Messages of the report, and what daemons tell about their counts. */
import type {Exchange} from '../wire/messages.js';
import type {Counts} from './verdict.js';

/** Counts of one minute, service and customer. */
export interface Cell {
  /** Minutes since the Unix epoch. */
  readonly minute: number;
  readonly service: string;
  readonly customer: string;
  readonly counts: Counts;
}

/** A time that one process at a daemon's id was counting; Unix time. */
export interface Span {
  readonly incarnation: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All that one daemon counted, over its planned restarts. */
export interface Statement {
  readonly daemon: string;
  readonly spans: readonly Span[];
  /** Older counts were dropped for want of room; Unix time, or 0. */
  readonly completeFromMs: number;
  readonly cells: readonly Cell[];
}

/** That a daemon was counting, told to others while it runs. */
export interface Mark {
  readonly daemon: string;
  readonly spans: readonly Span[];
}

/** Kinds of messages of the report. */
export interface ReportMessages {
  /** Tells that a daemon counts, so that a gap can be seen later. */
  readonly 'report.mark': Exchange<Mark, null>;
  /** Hands the counts over before a planned stop. */
  readonly 'report.keep': Exchange<{readonly statement: Statement}, null>;
  /** Asks for the counts that an earlier process handed over. */
  readonly 'report.fetch': Exchange<
    {readonly daemon: string},
    {readonly statements: readonly Statement[]}
  >;
}
