/**
 * Estimates how long a request waits for a slot. A request is refused on arrival
 * if the estimate exceeds its queue timeout, so the estimate must not exceed the
 * real wait: it is the lower of two estimates.
 */

/** The expected work of a running request. */
export interface RunningHold {
  /** Mean hold time of its route. */
  readonly meanMs: number;
  readonly heldMs: number;
}

/** The load ahead of a new request. */
export interface LoadAhead {
  readonly slots: number;
  readonly running: readonly RunningHold[];
  /** Mean hold times of the requests that are served before it, in order. */
  readonly aheadMs: readonly number[];
}

/** The least wait while no slot is free, so that it never reads as none. */
const MIN_WAIT_MS = 1;

/** The expected wait for a slot; 0 if one is free. */
export function estimateWaitMs(load: LoadAhead): number {
  return Math.min(usualWaitMs(load), atLeast(load, scheduledWaitMs));
}

/**
 * The wait that a refused request gets, so that it returns later; 0 if a slot
 * is free. While requests run longer than usual, the estimate above is near 0.
 */
export function usualWaitMs(load: LoadAhead): number {
  return atLeast(load, memorylessWaitMs);
}

function atLeast(
  load: LoadAhead,
  estimate: (load: LoadAhead) => number,
): number {
  const {slots, running, aheadMs} = load;
  if (running.length + aheadMs.length < slots) return 0;
  return Math.max(MIN_WAIT_MS, estimate(load));
}

/** Exact if every request holds its slot for the mean of its route. */
function scheduledWaitMs({slots, running, aheadMs}: LoadAhead): number {
  const idle = Array<number>(Math.max(0, slots - running.length)).fill(0);
  const leftMs = running.map(({meanMs, heldMs}) =>
    Math.max(0, meanMs - heldMs),
  );
  // After a reduction of the slots, more requests run than there are slots.
  const freeAtMs = [...idle, ...leftMs].toSorted(ascending).slice(-slots);
  const [nextMs = 0] = aheadMs.reduce(
    ([first = 0, ...others], holdMs) =>
      [...others, first + holdMs].toSorted(ascending),
    freeAtMs,
  );
  return nextMs;
}

/**
 * The mean wait if hold times vary widely (exponentially): the first of many
 * running requests then ends long before its mean. For equal hold times this is
 * (waiting + 1) / slots * mean.
 */
function memorylessWaitMs({slots, running, aheadMs}: LoadAhead): number {
  const queuedMs = aheadMs.reduce((sum, holdMs) => sum + holdMs, 0) / slots;
  if (running.length < slots) return queuedMs;
  const endsPerMs = running.reduce(
    (sum, {meanMs}) => sum + 1 / Math.max(MIN_WAIT_MS, meanMs),
    0,
  );
  const surplus = running.length - slots;
  return (surplus + 1) / endsPerMs + queuedMs;
}

function ascending(a: number, b: number): number {
  return a - b;
}
