/**
 * Finds a slot for a request. First the gates that should have a free one are
 * asked in turn; if none has, the request waits at a few gates at once, takes
 * the first slot that becomes free and withdraws from the others. Waiting
 * costs nothing to promise: only a reserved slot that is used runs anything.
 *
 * An instance that hangs fills its slots with what it will never answer, so
 * requests pass over it until no other gate has a slot for them.
 *
 * Patterns: load that fills most slots, where each router sees the others'
 * choices late; and some instances that hang under such a load.
 */
import {
  declined,
  type Assurance,
  type Declined,
  type Reservation,
  type SlotRequest,
} from '../gate/work.js';
import {hasFreeSlot, rankCandidates} from './choice.js';
import type {Gates, KnownGate} from './gates.js';

/** What is searched for. */
export interface Search extends Omit<SlotRequest, 'leftMs' | 'assurance'> {
  readonly isIdempotent: boolean;
  readonly bodyBytes: number;
  /** VMs that have already failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Monotonic clock; waiting past it serves nobody. */
  readonly deadlineAtMs: number;
  /** False: a free slot or none. */
  readonly mayWait: boolean;
  readonly signal: AbortSignal;
}

/** A slot that was found, and where. */
export interface Found {
  readonly kind: 'found';
  readonly vm: string;
  readonly reservation: Reservation;
}

/** Gates that are asked one after the other for a free slot. */
const MAX_ASKED = 6;
/** Gates at which a request waits at once. */
const MAX_LINES = 3;

/** Ends the waits at other gates. */
const OTHER_SLOT = new Error('a slot came free elsewhere');

/** Searches for a slot. */
export async function findSlot(
  gates: Pick<Gates, 'of'>,
  search: Search,
): Promise<Found | Declined> {
  const ranked = rankedGates(gates, search);
  if (ranked.length === 0) return declined('no-instance');
  const {isIdempotent, mayWait, signal} = search;
  const found = await askInTurn(
    ranked,
    search,
    isIdempotent ? 'answering' : 'trusted',
  );
  if (found.kind === 'found' || !mayWait) return found;
  if (signal.aborted) return declined('withdrawn');
  // The gates that were asked have told how full and how trusted they are.
  const lines = rankedGates(gates, search).slice(0, MAX_LINES);
  const waited = await waitInLines(lines, search);
  if (waited.kind === 'found' || signal.aborted) return waited;
  // Four in ten of those sent to instances in doubt are answered still.
  const last = await askInTurn(rankedGates(gates, search), search, 'none');
  return last.kind === 'found' ? last : waited;
}

function rankedGates(
  gates: Pick<Gates, 'of'>,
  search: Search,
): readonly KnownGate[] {
  const {excluded, service} = search;
  const usable = gates.of(service).filter(({vm}) => !excluded.has(vm));
  return rankCandidates(usable, search);
}

async function askInTurn(
  ranked: readonly KnownGate[],
  search: Search,
  assurance: Assurance,
): Promise<Found | Declined> {
  const free = ranked.filter(hasFreeSlot).slice(0, MAX_ASKED);
  let last = declined('busy');
  for (const {vm, gate} of free) {
    const result = await gate.reserve(
      {...slotRequest(search), leftMs: 0, assurance},
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

async function waitInLines(
  gates: readonly KnownGate[],
  search: Search,
): Promise<Found | Declined> {
  const {signal, deadlineAtMs} = search;
  const leave = new AbortController();
  const onAbort = () => leave.abort(signal.reason);
  signal.addEventListener('abort', onAbort, {once: true});
  let isWon = false;
  const waits = gates.map(async ({vm, gate}) => {
    const leftMs = deadlineAtMs - performance.now();
    const assurance = 'answering';
    const request = {...slotRequest(search), leftMs, assurance} as const;
    const result = await gate.reserve(request, leave.signal);
    if (result.kind === 'declined') return Promise.reject(new NoSlot(result));
    if (isWon) {
      result.release();
      return Promise.reject(new NoSlot(declined('withdrawn')));
    }
    isWon = true;
    return {kind: 'found', vm, reservation: result} as const;
  });
  try {
    return await Promise.any(waits);
  } catch (err) {
    return soonest(err as AggregateError);
  } finally {
    signal.removeEventListener('abort', onAbort);
    leave.abort(OTHER_SLOT);
  }
}

/** One gate gave no slot. */
class NoSlot extends Error {
  readonly why: Declined;

  constructor(why: Declined) {
    super(why.reason);
    this.why = why;
  }
}

function soonest(err: AggregateError): Declined {
  const refusals = (err.errors as readonly NoSlot[]).map(({why}) => why);
  return refusals.reduce((a, b) => (b.waitMs < a.waitMs ? b : a));
}

function slotRequest(
  search: Search,
): Omit<SlotRequest, 'leftMs' | 'assurance'> {
  const {requestId, service, route, priority, objectiveMs} = search;
  return {requestId, service, route, priority, objectiveMs};
}
