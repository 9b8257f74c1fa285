/**
 * How a request travels from a router to a gate on another VM: HTTP on the
 * peer listener. The work's particulars stand in one header field; the
 * outcome stands in another, which no instance can forge, because the gate
 * drops that field from instances' answers.
 */
import {randomUUID} from 'node:crypto';
import type {ClockReading} from '../member/clock_messages.js';
import type {Work} from './work.js';

/** Field of the request that carries {@link HopWork}. */
export const WORK_FIELD = 'x-chicorycourse-work';

/** Field of the answer that carries {@link HopOutcome}. */
export const OUTCOME_FIELD = 'x-chicorycourse-outcome';

/** The particulars of work that the request itself doesn't carry. */
export interface HopWork {
  readonly requestId: string;
  /** Unique for each attempt, so that an outcome can't be mistaken. */
  readonly attempt: string;
  readonly service: string;
  readonly customer?: string;
  readonly idempotent: boolean;
  /** The process of the gate whose clock the times below are of. */
  readonly process: string;
  /** Deadline in the gate's monotonic clock, milliseconds. */
  readonly deadlineAtMs: number;
  /** The rate token is void after this; the gate's monotonic clock. */
  readonly tokenExpiresAtMs?: number;
  /** The slot that was reserved for it. */
  readonly reservation?: string;
}

/** What became of the work, without the answer itself. */
export interface HopOutcome {
  readonly kind: 'answered' | 'not-run' | 'unknown';
  readonly reason?: string;
  readonly retryAfterMs?: number;
  readonly instance?: string;
  /** The attempt that this is the outcome of. */
  readonly attempt?: string;
  /** Free slots of the service minus waiting work at the gate. */
  readonly room?: number;
  /** The gate's clock when it answered. */
  readonly clock: ClockReading;
}

/** The particulars of `work`, by the gate's clock as of now. */
export function hopWorkOf(work: Work, clock: ClockReading): HopWork {
  const toGateMs = clock.nowMs - performance.now();
  return {
    requestId: work.requestId,
    attempt: randomUUID(),
    service: work.service,
    customer: work.customer,
    idempotent: work.idempotent,
    process: clock.process,
    deadlineAtMs: work.deadlineAtMs + toGateMs,
    tokenExpiresAtMs: work.token && work.token.expiresAtMs + toGateMs,
    reservation: work.reservation,
  };
}

/** Header text of a value; safe in a field. */
export function encodeField(value: HopWork | HopOutcome): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url');
}

/** The value of a header text made by {@link encodeField}. */
export function decodeField<Value>(text: string): Value {
  return JSON.parse(Buffer.from(text, 'base64url').toString()) as Value;
}
