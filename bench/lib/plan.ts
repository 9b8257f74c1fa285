/** What a run will do, made from a scenario and a seed before it starts. */
import {capacityOf, type BenchService, type Deployment} from './deployments.js';
import {arrivalsOf, randomOf} from './open_loop.js';

/** Something that goes wrong at a time after the start. */
export type ScenarioEvent = {readonly atMs: number} & (
  | {
      readonly kind: 'instance';
      readonly service: number;
      /** Which instance; left out, the seed picks one. */
      readonly index?: number;
      readonly faults: Readonly<Record<string, unknown>>;
      /** It should be found: it fails or slows real work. */
      readonly failing: boolean;
      /** Turns the faults off and on again at this interval. */
      readonly flapMs?: number;
    }
  | {readonly kind: 'store'; readonly faults: Readonly<Record<string, unknown>>}
  | {readonly kind: 'cutOneWay'; readonly domain: number}
  | {readonly kind: 'rollingRestart'}
  | {
      readonly kind: 'coldStarts';
      readonly slowFactor: number;
      readonly forMs: number;
    }
);

/** One file of bench/scenarios. */
export interface Scenario {
  readonly durationMs: number;
  /** Share of all slots that the load keeps busy. */
  readonly load: number;
  /** Multiplies the size of bodies. */
  readonly bodyFactor?: number;
  readonly surge?: {
    readonly customer: number;
    /** Multiplies the customer's rate. */
    readonly factor: number;
    readonly fromMs: number;
    readonly untilMs: number;
  };
  readonly events: readonly ScenarioEvent[];
}

/** One request of the load. */
export interface Arrival {
  readonly atMs: number;
  readonly customer: number;
  readonly service: BenchService;
  readonly workMs: number;
  /** True if a token bucket over the whole fleet would admit it. */
  readonly within: boolean;
}

/** A customer's rate and burst. */
export interface CustomerRate {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/** Head-room of a customer's rate over what it usually sends. */
const HEADROOM = 1.5;
const MIN_WORK_SHARE = 0.5;

/** Rates that leave each customer some head-room over its usual load. */
export function ratesOf(
  deployment: Deployment,
  scenario: Scenario,
): readonly CustomerRate[] {
  const total = deployment.services
    .map(service => capacityOf(deployment, service) * scenario.load)
    .reduce((sum, rate) => sum + rate, 0);
  return deployment.customers.map(share => {
    const ratePerSecond = Math.ceil(total * share * HEADROOM);
    return {ratePerSecond, burst: ratePerSecond};
  });
}

/** The whole load; the same seed gives the same one. */
export function planLoad(
  deployment: Deployment,
  scenario: Scenario,
  seed: number,
): readonly Arrival[] {
  const random = randomOf(seed);
  const rates = ratesOf(deployment, scenario);
  const {surge, durationMs, load} = scenario;
  const planned = deployment.customers.flatMap((share, customer) =>
    deployment.services.flatMap(service => {
      const capacity = capacityOf(deployment, service);
      const usual = capacity * load * share;
      const times = arrivalsOf(random, usual, 0, durationMs);
      const extra =
        surge?.customer === customer
          ? arrivalsOf(
              random,
              usual * (surge.factor * HEADROOM - 1),
              surge.fromMs,
              surge.untilMs,
            )
          : [];
      return [...times, ...extra].map(atMs => ({
        atMs,
        customer,
        service,
        workMs: Math.round(service.workMs * (MIN_WORK_SHARE + random())),
      }));
    }),
  );
  return markWithin(
    planned.toSorted((a, b) => a.atMs - b.atMs),
    rates,
  );
}

/** Runs one exact token bucket for each customer over the arrivals. */
function markWithin(
  arrivals: readonly Omit<Arrival, 'within'>[],
  rates: readonly CustomerRate[],
): readonly Arrival[] {
  const buckets = rates.map(({burst}) => ({tokens: burst, atMs: 0}));
  return arrivals.map(arrival => {
    const {ratePerSecond = 1, burst = 1} = rates[arrival.customer] ?? {};
    const bucket = buckets[arrival.customer] ?? {tokens: 0, atMs: 0};
    const gained = ((arrival.atMs - bucket.atMs) / 1000) * ratePerSecond;
    const tokens = Math.min(burst, bucket.tokens + gained);
    const within = tokens >= 1;
    Object.assign(bucket, {
      tokens: within ? tokens - 1 : tokens,
      atMs: arrival.atMs,
    });
    return {...arrival, within};
  });
}
