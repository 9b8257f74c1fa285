/**
 * Work is a request on its way to a backend server; its outcome says what
 * became of it. The router creates the work, and a gate on this VM or on
 * another sends it to an instance.
 */
import type {Readable} from 'node:stream';
import type {RateToken} from '../rates/limiter.js';
import type {RequestBody} from './body.js';

/** A request that may be sent to an instance. */
export interface Work {
  readonly requestId: string;
  readonly service: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Alternating names and values, without hop-by-hop headers and API keys. */
  readonly headers: readonly string[];
  readonly body: RequestBody | undefined;
  /** Undefined on public routes. */
  readonly customer: string | undefined;
  readonly idempotent: boolean;
  /** When the response headers are due; monotonic clock, milliseconds. */
  readonly deadlineAtMs: number;
  /** Rate token that permits the start; undefined on public routes. */
  readonly token: RateToken | undefined;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
  /** A slot that was reserved for the work at its target gate. */
  readonly reservation?: string;
}

/** True if the work may run at two instances and its body can be sent twice. */
export function mayRunTwice(work: Work): boolean {
  return work.idempotent && (work.body === undefined || work.body.isBuffered);
}

/** Why a request certainly did not run. */
export type NotRunReason =
  | 'no-instance'
  | 'busy'
  | 'draining'
  | 'connect-failed'
  | 'deadline'
  | 'cancelled'
  | 'token-expired';

/** Why it is unknown whether a request ran. */
export type UnknownReason = 'connection-lost' | 'timeout' | 'cancelled';

/** The response of an instance; its body is still being received. */
export interface Answered {
  readonly kind: 'answered';
  readonly instance: string;
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Readable;
}

/** The request certainly did not run and may be sent elsewhere. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly reason: NotRunReason;
  readonly retryAfterMs?: number;
}

/** The request may have run; only an idempotent one may be sent elsewhere. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly reason: UnknownReason;
}

export type Outcome = Answered | NotRun | Unknown;

/** The router's interface to a gate, on this VM or over the network. */
export interface GateClient {
  run(work: Work): Promise<Outcome>;
}

export function notRun(reason: NotRunReason): NotRun {
  return {kind: 'not-run', reason};
}
