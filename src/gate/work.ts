/**
 * One request on its way to a backend server, and what became of it. The
 * router makes the work; a gate on this VM or on another carries it out.
 */
import type {Readable} from 'node:stream';
import type {RateToken} from '../rates/limiter.js';
import type {RequestBody} from './body.js';

/** A request that may be sent to an instance. */
export interface Work {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  /** Names and values in turn, without hop-by-hop fields and keys. */
  readonly headers: readonly string[];
  readonly body: RequestBody | undefined;
  /** Undefined on routes that are open to all. */
  readonly customer: string | undefined;
  readonly idempotent: boolean;
  /** The answer's headers are due; monotonic clock, milliseconds. */
  readonly deadlineAtMs: number;
  /** Permission to start; undefined on routes that are open to all. */
  readonly token: RateToken | undefined;
  /** Aborted when the caller has gone. */
  readonly signal: AbortSignal;
  /** A slot that was reserved for it at the gate that it goes to. */
  readonly reservation?: string;
}

/** True if the work may run at two instances, and can be sent to both. */
export function mayRunTwice(work: Work): boolean {
  return work.idempotent && (work.body === undefined || work.body.whole);
}

/** Why a request surely did not run. */
export type NotRunReason =
  | 'no-instance'
  | 'busy'
  | 'draining'
  | 'connect-failed'
  | 'deadline'
  | 'cancelled'
  | 'token-expired';

/** Why it isn't known whether a request ran. */
export type UnknownReason = 'connection-lost' | 'timeout' | 'cancelled';

/** An instance's answer; the body still flows. */
export interface Answered {
  readonly kind: 'answered';
  readonly instance: string;
  readonly status: number;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Readable;
}

/** The request surely did not run and may go elsewhere. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly retryAfterMs?: number;
}

/** The request may have run; only an idempotent one may go elsewhere. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
}

export type Outcome = Answered | NotRun | Unknown;

/** A gate as the router sees it, on this VM or behind the network. */
export interface GateDoor {
  run(work: Work): Promise<Outcome>;
}

/** The outcome of work that surely did not run. */
export function notRun(reason: NotRunReason): NotRun {
  return {kind: 'not-run', reason};
}
