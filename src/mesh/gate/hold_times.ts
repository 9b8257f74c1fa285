/**
 * How long requests hold a slot: a running mean for each route. One mean for all
 * routes is of no use where lookups of 171 ms share an instance with reads of
 * 2,250 ms.
 */

/** Weight of the newest hold time in a running mean. */
const GAIN = 0.1;
/** Assumed mean hold time until the first request has ended. */
const INITIAL_HOLD_MS = 200;
/** Route names arrive from peers; those beyond this number share one mean. */
const MAX_ROUTES = 256;

/** Running means of the hold times at one instance. */
export class HoldTimes {
  readonly #meanByRoute = new Map<string, number>();
  #overallMs: number | undefined;

  /** Records how long a request of the route held its slot. */
  addSample(route: string, heldMs: number): void {
    this.#overallMs = nextMean(this.#overallMs, heldMs);
    const before = this.#meanByRoute.get(route);
    if (before === undefined && this.#meanByRoute.size >= MAX_ROUTES) return;
    this.#meanByRoute.set(route, nextMean(before, heldMs));
  }

  /** The mean of the route, or of all routes if the route has no sample. */
  meanMs(route: string): number {
    return this.#meanByRoute.get(route) ?? this.#overallMs ?? INITIAL_HOLD_MS;
  }
}

function nextMean(meanMs: number | undefined, sampleMs: number): number {
  return meanMs === undefined ? sampleMs : meanMs + GAIN * (sampleMs - meanMs);
}
