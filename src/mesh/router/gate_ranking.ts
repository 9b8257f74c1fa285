/**
 * Ranks the gates for a request by the status that their daemons last sent. A
 * near instance is preferred to an equally good one that is farther away; a
 * suspect instance is used only when the others are full.
 *
 * Designed for few slots on each instance, instances that hang for some
 * seconds, and traffic between failure domains that costs by the byte.
 */
import type {BackendStatus, Trust} from '../model.js';

/** A gate, as the ranking sees it. */
export interface Candidate {
  readonly isLocal: boolean;
  readonly isSameDomain: boolean;
  readonly backend: BackendStatus;
  /** Slots that this router has requested and `backend` doesn't count yet. */
  readonly outstanding: number;
  /** Wait for a turn, if the instance names a rate limit now. */
  readonly turnWaitMs?: number;
}

/** The properties of a request that the ranking depends on. */
export interface RequestTraits {
  readonly isIdempotent: boolean;
  readonly bodyBytes: number;
}

/** All costs are in units of the cost of a fully used instance. */
const OTHER_VM_COST = 0.02;
const OTHER_DOMAIN_COST = 0.8;
/** Added for a body of this size or more, which is expensive to transfer. */
const LARGE_BODY_COST = 1;
const LARGE_BODY_BYTES = 32 * 1024;
const NO_FREE_SLOT_COST = 1;
/** An instance in its cold start takes about twice as long. */
const COLD_COST = 0.5;
/** A request usually holds a slot for a quarter of a second. */
const TURN_WAIT_COST_PER_MS = 1 / 250;
/** Upper bound of a random cost, so that not all routers pick the same gate. */
export const MAX_TIE_BREAK_COST = 0.1;

/**
 * A request that can't be repeated waits rather than risk a hang: on the users'
 * bench one in six of those sent to an instance that wasn't `clear` hung, and
 * one in seventy of the others.
 */
const TRUST_COST: Readonly<
  Record<'idempotent' | 'nonIdempotent', Readonly<Record<Trust, number>>>
> = {
  idempotent: {clear: 0, probation: 0, suspect: 2.5},
  nonIdempotent: {clear: 0, probation: 3, suspect: 8},
};
/**
 * An instance that isn't `clear` is tried with one request at a time: a second
 * one would tell nothing more while the first is in flight.
 */
const TRIAL_IN_FLIGHT_COST = 1;

/** Returns the candidates that accept new requests, the best first. */
export function rankCandidates<T extends Candidate>(
  candidates: readonly T[],
  traits: RequestTraits,
  random: () => number = Math.random,
): readonly T[] {
  return candidates
    .filter(candidate => exclusionOf(candidate) === undefined)
    .map(candidate => ({
      candidate,
      cost:
        sumCosts(costsOf(candidate, traits)) + random() * MAX_TIE_BREAK_COST,
    }))
    .toSorted((a, b) => a.cost - b.cost)
    .map(({candidate}) => candidate);
}

/** Why a candidate gets no new requests; undefined if it may get them. */
export function exclusionOf({backend}: Candidate): string | undefined {
  return backend.state === 'ready' ? undefined : backend.state;
}

/** Whether the gate is expected to have a free slot. */
export function hasFreeSlot(candidate: Candidate): boolean {
  const {backend, outstanding, turnWaitMs} = candidate;
  // A limit lets one request through at a time.
  const hasTurn = turnWaitMs === 0 && outstanding === 0;
  if (turnWaitMs !== undefined && !hasTurn) return false;
  return backend.running + backend.waiting + outstanding < backend.slots;
}

/** What adds to the cost of a candidate. */
export type Costs = Readonly<
  Record<
    | 'load'
    | 'distance'
    | 'noFreeSlot'
    | 'cold'
    | 'trust'
    | 'trialInFlight'
    | 'turnWait',
    number
  >
>;

/** The costs of a candidate for a request. */
export function costsOf(candidate: Candidate, traits: RequestTraits): Costs {
  const {backend, outstanding} = candidate;
  const {trust} = backend;
  const requestCount = backend.running + backend.waiting + outstanding;
  const isTrialInFlight = trust !== 'clear' && requestCount > 0;
  return {
    load: requestCount / backend.slots,
    distance: computeDistanceCost(candidate, traits.bodyBytes),
    noFreeSlot: hasFreeSlot(candidate) ? 0 : NO_FREE_SLOT_COST,
    cold: backend.isCold ? COLD_COST : 0,
    trust:
      TRUST_COST[traits.isIdempotent ? 'idempotent' : 'nonIdempotent'][trust],
    trialInFlight: isTrialInFlight ? TRIAL_IN_FLIGHT_COST : 0,
    turnWait: (candidate.turnWaitMs ?? 0) * TURN_WAIT_COST_PER_MS,
  };
}

/** The whole cost of a candidate. */
export function sumCosts(costs: Costs): number {
  return Object.values(costs).reduce((sum, cost) => sum + cost);
}

function computeDistanceCost(
  {isLocal, isSameDomain}: Candidate,
  bodyBytes: number,
): number {
  if (isLocal) return 0;
  if (isSameDomain) return OTHER_VM_COST;
  const sizeRatio = Math.min(1, bodyBytes / LARGE_BODY_BYTES);
  return OTHER_DOMAIN_COST + sizeRatio * LARGE_BODY_COST;
}
