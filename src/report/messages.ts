/** Messages by which daemons exchange the counts for the report. */
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

/** Period in which one process with a daemon's id counted; Unix time. */
export interface Span {
  readonly incarnation: number;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** All counts of one daemon, including those from before planned restarts. */
export interface Statement {
  readonly daemon: string;
  readonly spans: readonly Span[];
  /** Counts before this Unix time were dropped to limit memory; 0 if none. */
  readonly completeFromMs: number;
  readonly cells: readonly Cell[];
}

/** The time spans that a daemon has counted, sent to peers while it runs. */
export interface Mark {
  readonly daemon: string;
  readonly spans: readonly Span[];
}

/** Kinds of messages of the report. */
export interface ReportMessages {
  /** Announces the spans that a daemon has counted, to detect gaps later. */
  readonly 'report.mark': Exchange<Mark, null>;
  /** Sends the counts to a backup peer before a planned stop. */
  readonly 'report.keep': Exchange<{readonly statement: Statement}, null>;
  /** Requests the counts that an earlier process with this id sent. */
  readonly 'report.fetch': Exchange<
    {readonly daemon: string},
    {readonly statements: readonly Statement[]}
  >;
}
