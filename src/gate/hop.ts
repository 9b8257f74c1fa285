/**
 * A hop takes a request from a router to a gate on another VM: HTTP on the
 * peer listener. One request header carries the attributes of the work, one
 * response header the outcome. Instances can't forge the outcome, because the
 * gate removes that header from their responses.
 */
import {randomUUID} from 'node:crypto';
import type {ClockReading} from '../member/clock_messages.js';
import type {Work} from './work.js';

/** Request header that carries {@link HopWork}. */
export const WORK_HEADER = 'x-chicorycourse-work';

/** Response header that carries {@link HopOutcome}. */
export const OUTCOME_HEADER = 'x-chicorycourse-outcome';

/** Attributes of the work that the HTTP request itself doesn't carry. */
export interface HopWork {
  readonly requestId: string;
  /** Unique per attempt, so that an outcome can't be assigned to another. */
  readonly attempt: string;
  readonly service: string;
  readonly customer?: string;
  readonly idempotent: boolean;
  /** The gate's process, whose monotonic clock the times below refer to. */
  readonly process: string;
  /** Deadline in milliseconds of the gate's monotonic clock. */
  readonly deadlineAtMs: number;
  /** Expiry of the rate token in milliseconds of the gate's monotonic clock. */
  readonly tokenExpiresAtMs?: number;
  /** The slot that was reserved for the work. */
  readonly reservation?: string;
}

/** The outcome of the work, without the response itself. */
export interface HopOutcome {
  readonly kind: 'answered' | 'not-run' | 'unknown';
  readonly reason?: string;
  readonly retryAfterMs?: number;
  readonly instance?: string;
  /** The attempt that this outcome belongs to. */
  readonly attempt?: string;
  /** Free slots minus queued requests of the service at the gate. */
  readonly room?: number;
  /** Reading of the gate's clock at the time of the outcome. */
  readonly clock: ClockReading;
}

/** The attributes of `work`, with times converted to the gate's clock. */
export function createHopWork(work: Work, clock: ClockReading): HopWork {
  const clockOffsetMs = clock.nowMs - performance.now();
  return {
    requestId: work.requestId,
    attempt: randomUUID(),
    service: work.service,
    customer: work.customer,
    idempotent: work.idempotent,
    process: clock.process,
    deadlineAtMs: work.deadlineAtMs + clockOffsetMs,
    tokenExpiresAtMs: work.token && work.token.expiresAtMs + clockOffsetMs,
    reservation: work.reservation,
  };
}

/** Encodes a value as header text; base64url is safe in any header. */
export function encodeHeader(value: HopWork | HopOutcome): string {
  return Buffer.from(JSON.stringify(value)).toString('base64url');
}

/** Decodes header text that {@link encodeHeader} made. */
export function decodeHeader<Value>(text: string): Value {
  return JSON.parse(Buffer.from(text, 'base64url').toString()) as Value;
}
