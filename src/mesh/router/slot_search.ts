/**
 * Finds a slot for a request; an instance executes one request in each slot.
 * First the gates that are expected to have a free slot are asked in turn. If
 * none of them grants one, the request queues at several gates at once, uses
 * the first slot that becomes free and withdraws from the other queues.
 * Queueing at several gates is safe: a reservation alone executes nothing.
 *
 * A hanging instance fills its slots with requests that it never answers, so it
 * is avoided until no other gate has a slot.
 *
 * Designed for load that fills most slots, where each router learns of the
 * others' choices late, and for instances that hang under such a load.
 */
import {
  declined,
  type Assurance,
  type Declined,
  type Reservation,
  type SlotRequest,
} from '../gate/work.js';
import {hasFreeSlot, rankCandidates} from './gate_ranking.js';
import type {Gates, GateCandidate} from './gates.js';

/** The request that needs a slot, and the limits of the search. */
export interface SlotSearch extends Omit<SlotRequest, 'leftMs' | 'assurance'> {
  readonly isIdempotent: boolean;
  readonly bodyBytes: number;
  /** VMs that this request was already sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic clock; a slot found later is useless to the caller. */
  readonly deadlineAtMs: number;
  /** If false, only a slot that is free now is taken. */
  readonly mayWait: boolean;
  readonly signal: AbortSignal;
}

/** A reserved slot and the VM that it is on. */
export interface FoundSlot {
  readonly kind: 'found';
  readonly vm: string;
  readonly reservation: Reservation;
}

/** Maximum number of gates that are asked in turn for a free slot. */
const MAX_GATES_ASKED = 6;
/** Maximum number of gates that a request queues at concurrently. */
const MAX_QUEUES = 3;

/**
 * A gate may know of an evacuation before this router does; the gate's status,
 * which excludes it, arrives within milliseconds.
 */
const MAX_SEARCHES_AGAIN = 2;

/** Abort reason for the queues at the other gates. */
const SLOT_FOUND_ELSEWHERE = new Error('a slot was reserved at another gate');

/**
 * Searches for a slot and reserves it. If the gates that it queued at were
 * evacuated meanwhile, it searches again at the others.
 */
export async function findSlot(
  gates: Pick<Gates, 'forService'>,
  search: SlotSearch,
): Promise<FoundSlot | Declined> {
  let result = await searchOnce(gates, search);
  for (let again = 0; again < MAX_SEARCHES_AGAIN; again += 1) {
    const isEvacuated =
      result.kind === 'declined' && result.reason === 'evacuated';
    if (!isEvacuated || search.signal.aborted) break;
    result = await searchOnce(gates, search);
  }
  return result;
}

async function searchOnce(
  gates: Pick<Gates, 'forService'>,
  search: SlotSearch,
): Promise<FoundSlot | Declined> {
  const ranked = rankGates(gates, search);
  if (ranked.length === 0) return declined('no-instance');
  const {isIdempotent, mayWait, signal} = search;
  const found = await askFreeGates(
    ranked,
    search,
    isIdempotent ? 'answering' : 'trusted',
  );
  if (found.kind === 'found' || !mayWait) return found;
  if (signal.aborted) return declined('withdrawn');
  // The responses have updated the load and trust of the gates just asked.
  const queued = gatesToQueueAt(rankGates(gates, search));
  if (queued.length === 0) return found;
  const waited = await waitInQueues(queued, search);
  if (waited.kind === 'found' || signal.aborted) return waited;
  // Even instances that are not trusted answer four requests in ten.
  const last = await askFreeGates(rankGates(gates, search), search, 'none');
  return last.kind === 'found' ? last : waited;
}

/** Returns the gates that may be asked for a slot, the best first. */
export function rankGates(
  gates: Pick<Gates, 'forService'>,
  search: Pick<
    SlotSearch,
    'excluded' | 'service' | 'isIdempotent' | 'bodyBytes'
  >,
  random?: () => number,
): readonly GateCandidate[] {
  const {excluded, service} = search;
  const usable = gates.forService(service).filter(({vm}) => !excluded.has(vm));
  return rankCandidates(usable, search, random);
}

/** The ranked gates that are asked in turn for a free slot. */
export function gatesToAsk(
  ranked: readonly GateCandidate[],
): readonly GateCandidate[] {
  return ranked.filter(hasFreeSlot).slice(0, MAX_GATES_ASKED);
}

/** The ranked gates that a request queues at if none grants a free slot. */
export function gatesToQueueAt(
  ranked: readonly GateCandidate[],
): readonly GateCandidate[] {
  return ranked.slice(0, MAX_QUEUES);
}

async function askFreeGates(
  ranked: readonly GateCandidate[],
  search: SlotSearch,
  assurance: Assurance,
): Promise<FoundSlot | Declined> {
  let last = declined('busy');
  for (const {vm, gate} of gatesToAsk(ranked)) {
    const result = await gate.reserve(
      {...toSlotRequest(search), leftMs: 0, assurance},
      search.signal,
    );
    if (result.kind === 'reserved') {
      return {kind: 'found', vm, reservation: result};
    }
    last = result;
    if (search.signal.aborted) break;
  }
  return last;
}

async function waitInQueues(
  gates: readonly GateCandidate[],
  search: SlotSearch,
): Promise<FoundSlot | Declined> {
  const {signal, deadlineAtMs} = search;
  const waitAbort = new AbortController();
  const onAbort = () => waitAbort.abort(signal.reason);
  signal.addEventListener('abort', onAbort, {once: true});
  let isSlotTaken = false;
  const waits = gates.map(async ({vm, gate}) => {
    const leftMs = deadlineAtMs - performance.now();
    const assurance = 'answering';
    const request = {...toWaitingRequest(search), leftMs, assurance} as const;
    const result = await gate.reserve(request, waitAbort.signal);
    if (result.kind === 'declined') return Promise.reject(new NoSlot(result));
    if (isSlotTaken) {
      result.release();
      return Promise.reject(new NoSlot(declined('withdrawn')));
    }
    isSlotTaken = true;
    return {kind: 'found', vm, reservation: result} as const;
  });
  try {
    return await Promise.any(waits);
  } catch (err) {
    return shortestWait(err as AggregateError);
  } finally {
    signal.removeEventListener('abort', onAbort);
    waitAbort.abort(SLOT_FOUND_ELSEWHERE);
  }
}

/** A gate declined to reserve a slot. */
class NoSlot extends Error {
  readonly why: Declined;

  constructor(why: Declined) {
    super(why.reason);
    this.why = why;
  }
}

function shortestWait(err: AggregateError): Declined {
  const all = (err.errors as readonly NoSlot[]).map(({why}) => why);
  // An evacuated gate tells no wait; those of the others are of use.
  const others = all.filter(({reason}) => reason !== 'evacuated');
  const declines = others.length > 0 ? others : all;
  return declines.reduce((a, b) => (b.waitMs < a.waitMs ? b : a));
}

/** Only requests that wait need a customer, for their order in the queue. */
function toWaitingRequest(
  search: SlotSearch,
): Omit<SlotRequest, 'leftMs' | 'assurance'> {
  const {customer} = search;
  const request = toSlotRequest(search);
  return customer === undefined ? request : {...request, customer};
}

function toSlotRequest(
  search: SlotSearch,
): Omit<SlotRequest, 'leftMs' | 'assurance'> {
  const {requestId, service, route, priority, objectiveMs} = search;
  return {requestId, service, route, priority, objectiveMs};
}
