/**
 * Where a request goes: gates in order of preference, from what their daemons
 * last told. A near instance is preferred while it is as good; one that is
 * suspect is used only when the others are full.
 *
 * Pattern: few slots for each instance, instances that hang for some seconds,
 * and bytes between failure domains that cost.
 */
import type {BackendStatus, Trust} from '../model.js';

/** What the choice knows of one gate. */
export interface Candidate {
  readonly isLocal: boolean;
  readonly isSameDomain: boolean;
  readonly backend: BackendStatus;
  /** Slots that this router has asked for and not yet seen in `backend`. */
  readonly outstanding: number;
}

/** What the choice knows of the request. */
export interface WorkShape {
  readonly isIdempotent: boolean;
  readonly bodyBytes: number;
}

/** All weights are in units of a fully used instance. */
const OTHER_VM_COST = 0.02;
const OTHER_DOMAIN_COST = 0.8;
/** Added for a body of this size or more, which is dear to carry over. */
const LARGE_BODY_COST = 1;
const LARGE_BODY_BYTES = 32 * 1024;
const NO_FREE_SLOT_COST = 1;
/** A cold instance takes about twice as long. */
const COLD_COST = 0.5;
/** Breaks ties, so that routers don't all choose the same gate. */
const SPREAD_COST = 0.1;

/**
 * A request that can't be repeated waits rather than risk a hang: on the users'
 * bench one in six of those sent to an instance that wasn't clear hung, and
 * one in seventy of the others.
 */
const TRUST_COST: Readonly<
  Record<'idempotent' | 'once', Readonly<Record<Trust, number>>>
> = {
  idempotent: {clear: 0, probation: 0, suspect: 2.5},
  once: {clear: 0, probation: 3, suspect: 8},
};
/** A second trial gains nothing while the first is under way. */
const TRIAL_UNDER_WAY_COST = 1;

/** The candidates that take new work, the best first. */
export function rankCandidates<Known extends Candidate>(
  candidates: readonly Known[],
  work: WorkShape,
  random: () => number = Math.random,
): readonly Known[] {
  return candidates
    .filter(({backend}) => backend.state === 'ready')
    .map(candidate => ({
      candidate,
      cost: costOf(candidate, work) + random() * SPREAD_COST,
    }))
    .toSorted((a, b) => a.cost - b.cost)
    .map(({candidate}) => candidate);
}

/** Whether a slot is expected to be free. */
export function hasFreeSlot({backend, outstanding}: Candidate): boolean {
  return backend.running + backend.waiting + outstanding < backend.slots;
}

function costOf(candidate: Candidate, work: WorkShape): number {
  const {backend, outstanding} = candidate;
  const {trust} = backend;
  const taken = backend.running + backend.waiting + outstanding;
  const isTrial = trust !== 'clear' && taken > 0;
  return [
    taken / backend.slots,
    placeCost(candidate, work.bodyBytes),
    hasFreeSlot(candidate) ? 0 : NO_FREE_SLOT_COST,
    backend.isCold ? COLD_COST : 0,
    TRUST_COST[work.isIdempotent ? 'idempotent' : 'once'][trust],
    isTrial ? TRIAL_UNDER_WAY_COST : 0,
  ].reduce((sum, cost) => sum + cost);
}

function placeCost(
  {isLocal, isSameDomain}: Candidate,
  bodyBytes: number,
): number {
  if (isLocal) return 0;
  if (isSameDomain) return OTHER_VM_COST;
  const largeness = Math.min(1, bodyBytes / LARGE_BODY_BYTES);
  return OTHER_DOMAIN_COST + largeness * LARGE_BODY_COST;
}
