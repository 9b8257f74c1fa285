/** Turns what callers saw and what instances ran into the brief's measures. */
import {LatencyHistogram, type Percentiles} from './histogram.js';
import type {Arrival} from './plan.js';

/** What a caller saw of one request. */
export interface Seen {
  readonly requestId: string;
  readonly arrival: Arrival;
  readonly status: number;
  /** What the refusal said, if it was one. */
  readonly ran: 'yes' | 'no' | 'unknown';
  /** The name of the refusal, or empty. */
  readonly refusal: string;
  readonly tookMs: number;
}

/** What an instance did; see the stand-in. */
export interface Run {
  readonly id: string;
  readonly method: string;
}

/** How one customer fared, over requests within its rate. */
export interface CustomerResult {
  readonly customer: string;
  readonly requests: number;
  readonly served: number;
  readonly p99Ms: number;
}

/** The measures that come from requests. */
export interface RequestMeasures {
  readonly requests: number;
  readonly served: number;
  readonly failed: number;
  readonly refusedWithin: number;
  readonly refusedWithinShare: number;
  /** Those, by the name of the refusal. */
  readonly refusedBecause: Readonly<Record<string, number>>;
  /** Outcomes that weren't known, by what the caller got. */
  readonly unknownBecause: Readonly<Record<string, number>>;
  readonly worstCustomer: CustomerResult | undefined;
  readonly surgingCustomer: CustomerResult | undefined;
  /** Latency over the work itself, for requests that were served. */
  readonly overWork: Percentiles;
  /** Runs beyond one for each request, as a share of the requests. */
  readonly extraRunsShare: number;
  /** Runs whose answer no caller got, as a share of all runs. */
  readonly wastedRunsShare: number;
  /** Non-idempotent requests that ran more than once. */
  readonly ranTwice: number;
}

const isServed = ({status}: Seen) => status === 200;

/** Works the measures out. */
export function tally(
  seen: readonly Seen[],
  runs: readonly Run[],
  surging: number | undefined,
): RequestMeasures {
  const within = seen.filter(({arrival}) => arrival.within);
  const steady = within.filter(({arrival}) => arrival.customer !== surging);
  const refused = steady.filter(({status, ran}) => isRefusal(status, ran));
  const customers = [...new Set(steady.map(s => s.arrival.customer))];
  const results = customers
    .map(customer => resultOf(within, customer))
    .toSorted((a, b) => shareOf(a) - shareOf(b) || b.p99Ms - a.p99Ms);
  const served = seen.filter(isServed);
  const overWork = new LatencyHistogram();
  served.forEach(({tookMs, arrival}) =>
    overWork.record(tookMs - arrival.workMs),
  );
  const ids = new Set(runs.map(run => run.id));
  const answered = new Set(served.map(({requestId}) => requestId));
  const wasted = runs.length - [...ids].filter(id => answered.has(id)).length;
  return {
    requests: seen.length,
    served: served.length,
    failed: seen.filter(({status, ran}) => status >= 500 && ran === 'yes')
      .length,
    refusedWithin: refused.length,
    refusedWithinShare: refused.length / Math.max(1, steady.length),
    refusedBecause: countByRefusal(refused),
    unknownBecause: countByRefusal(seen.filter(({ran}) => ran === 'unknown')),
    worstCustomer: results[0],
    surgingCustomer:
      surging === undefined ? undefined : resultOf(within, surging),
    overWork: overWork.percentiles(),
    extraRunsShare: (runs.length - ids.size) / Math.max(1, ids.size),
    wastedRunsShare: wasted / Math.max(1, runs.length),
    ranTwice: repeatsOf(runs.filter(({method}) => method === 'POST')),
  };
}

function countByRefusal(seen: readonly Seen[]): Record<string, number> {
  return seen.reduce<Record<string, number>>(
    (sums, {refusal}) => ({...sums, [refusal]: (sums[refusal] ?? 0) + 1}),
    {},
  );
}

function isRefusal(status: number, ran: Seen['ran']): boolean {
  return status >= 400 && ran === 'no';
}

function resultOf(within: readonly Seen[], customer: number): CustomerResult {
  const own = within.filter(({arrival}) => arrival.customer === customer);
  const served = own.filter(isServed);
  const histogram = new LatencyHistogram();
  served.forEach(({tookMs}) => histogram.record(tookMs));
  return {
    customer: `c${customer + 1}`,
    requests: own.length,
    served: served.length,
    p99Ms: histogram.percentiles().p99,
  };
}

function shareOf({requests, served}: CustomerResult): number {
  return served / Math.max(1, requests);
}

function repeatsOf(runs: readonly Run[]): number {
  const counts = runs.reduce(
    (map, {id}) => map.set(id, (map.get(id) ?? 0) + 1),
    new Map<string, number>(),
  );
  return [...counts.values()].filter(count => count > 1).length;
}
