/**
 * The interface between routers and gates. A router first reserves a slot, and
 * a request runs only when the router then uses the reservation. So a
 * reservation that is lost or late never runs anything.
 */

/** What a gate needs to know to grant a slot. */
export interface SlotRequest {
  readonly requestId: string;
  readonly service: string;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly objectiveMs: number;
  /** Time until a response is of no use; 0: don't wait for a slot. */
  readonly leftMs: number;
  readonly assurance: Assurance;
  /** Sent only if the request may wait; daemons that don't know it skip it. */
  readonly customer?: string;
}

/**
 * What a router requires of an instance before it takes a slot: that it is
 * trusted, that it has answered a request just now, or nothing.
 */
export type Assurance = 'trusted' | 'answering' | 'none';

/** Why a gate grants no slot; the request has not run. */
export type DeclineReason =
  | 'busy'
  | 'daemon-stopping'
  | 'doubtful'
  | 'evacuated'
  | 'leaving'
  | 'limited'
  | 'no-instance'
  | 'silent'
  | 'stopping'
  | 'withdrawn';

/** The gate grants no slot. */
export interface Declined {
  readonly kind: 'declined';
  readonly reason: DeclineReason;
  /** Expected time until a slot is free. */
  readonly waitMs: number;
}

/** The request as it is sent to the instance. */
export interface Work {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Names and values alternate. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Time left until the caller stops waiting. */
  readonly leftMs: number;
  /** Whether it was sent to another instance before. */
  readonly isRepeat: boolean;
}

/** The instance answered; the response is complete and matches the request. */
export interface Answered {
  readonly kind: 'answered';
  readonly instance: string;
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** No instance has run it, and none will. */
export interface NotRun {
  readonly kind: 'not-run';
  readonly instance: string;
  readonly reason: string;
  /** Whether it reached an instance, which then rejected it. */
  readonly hasArrived: boolean;
}

/** It may have run; its response is lost, late or invalid. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly instance: string;
  readonly reason: string;
  /** Whether the instance ended while it ran the request. */
  readonly hasInstanceEnded?: boolean;
}

/** The result of sending the work to an instance. */
export type Outcome = Answered | NotRun | Unknown;

/** A slot that is held for a router until it is used or released. */
export interface Reservation {
  readonly kind: 'reserved';
  readonly instance: string;
  /** Time after sending from which a response of this route is late. */
  readonly lateAfterMs: number;
  run(work: Work, signal: AbortSignal): Promise<Outcome>;
  release(): void;
}

/** A gate as routers use it, on the same VM or on another one. */
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
