/**
 * The contract between routers and gates. A router first reserves a slot;
 * only a reservation that it then uses can run, so that a reservation that
 * is lost or late never runs anything.
 */

/** What a gate needs to know to give a slot. */
export interface SlotRequest {
  readonly requestId: string;
  readonly service: string;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveMs: number;
  /** Until its answer is of no use; 0: it takes a free slot or none. */
  readonly leftMs: number;
  readonly assurance: Assurance;
}

/**
 * What a router wants to be sure of before it takes a slot: that the instance
 * is trusted, that it has answered something just now, or nothing.
 */
export type Assurance = 'trusted' | 'answering' | 'none';

/** Why a gate gives no slot; the request has not run. */
export type DeclineReason =
  | 'busy'
  | 'doubtful'
  | 'leaving'
  | 'no-instance'
  | 'silent'
  | 'stopping'
  | 'withdrawn';

/** The gate gives no slot. */
export interface Declined {
  readonly kind: 'declined';
  readonly reason: DeclineReason;
  /** When a slot is expected to be free. */
  readonly waitMs: number;
}

/** The request as the instance gets it. */
export interface Work {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time left until the caller has gone. */
  readonly leftMs: number;
  /** Whether it was sent to another instance before. */
  readonly isRepeat: boolean;
}

/** The instance answered; the answer is whole and belongs to the request. */
export interface Answered {
  readonly kind: 'answered';
  readonly instance: string;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** No instance ran it or ever will. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly instance: string;
  readonly reason: string;
  /** Whether it reached an instance, which then turned it away. */
  readonly hasArrived: boolean;
}

/** It may have run; its answer is lost, late or broken. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly instance: string;
  readonly reason: string;
}

/** What became of the work. */
export type Outcome = Answered | NotRun | Unknown;

/** A slot that is held for the router until it is used or released. */
export interface Reservation {
  readonly kind: 'reserved';
  readonly instance: string;
  /** When an answer of this route is later than usual. */
  readonly lateAfterMs: number;
  run(work: Work, signal: AbortSignal): Promise<Outcome>;
  release(): void;
}

/** A gate as routers use it, on the same VM or another one. */
export interface GateClient {
  reserve(
    request: SlotRequest,
    signal: AbortSignal,
  ): Promise<Reservation | Declined>;
}

/** Builds a {@link Declined}. */
export function declined(reason: DeclineReason, waitMs = 0): Declined {
  return {kind: 'declined', reason, waitMs};
}
