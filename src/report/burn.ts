/**
 * Burn rate of the error budget. A burn rate of 1 spends exactly the budget
 * that the objective allows. An alert fires only when both a long and a short
 * window exceed its burn rate: it is then neither raised late nor still active
 * after the fault is over.
 */
import type {Service} from '../configuration/records.js';
import type {FleetCounts, Gap} from './merge.js';
import type {Cell} from './messages.js';
import {
  addCounts,
  BAD_VERDICTS,
  countOf,
  VERDICTS,
  type BadVerdict,
  type Counts,
} from './verdict.js';

/** Service-level objective of a service. */
export interface Objective {
  readonly service: string;
  /** Share of requests that should succeed, 0 to 1. */
  readonly success: number;
  /** Slower responses spend the error budget; in milliseconds. */
  readonly latencyMs: number;
}

/** Requests and burn rate of one time window. */
export interface WindowBurn {
  readonly minutes: number;
  /** Good and bad requests; excludes those over rate, cancelled or repeated. */
  readonly eligible: number;
  readonly bad: number;
  readonly burnRate: number;
}

/** Part of the spent budget that is due to one cause or one customer. */
export interface Share {
  readonly name: string;
  readonly bad: number;
  readonly share: number;
}

/** Counts of one customer of a service in the longest window. */
export interface CustomerBurn {
  readonly customer: string;
  readonly counts: Readonly<Record<string, number>>;
  readonly burnRate: number;
}

/** Counts of a service in one minute. */
export interface Point {
  /** Unix time of the start of the minute, in milliseconds. */
  readonly atMs: number;
  readonly eligible: number;
  readonly bad: Readonly<Record<BadVerdict, number>>;
}

/** Burn of one service, with its causes and customers. */
export interface ServiceBurn {
  readonly objective: Objective;
  readonly windows: readonly WindowBurn[];
  /** Unspent share of the longest window's budget; negative if overspent. */
  readonly budgetLeft: number;
  readonly alert: 'page' | 'ticket' | 'none';
  readonly causes: readonly Share[];
  readonly burners: readonly Share[];
  readonly customers: readonly CustomerBurn[];
  readonly points: readonly Point[];
}

/** The whole report. */
export interface BurnReport {
  /** Unix time in milliseconds. */
  readonly atMs: number;
  readonly daemons: readonly string[];
  /** Members that did not respond; the report lacks their counts. */
  readonly unreached: readonly string[];
  readonly gaps: readonly Gap[];
  readonly services: readonly ServiceBurn[];
}

const MINUTE_MS = 60_000;
const WINDOW_MINUTES = [5, 30, 60, 360] as const;
const LONGEST_MINUTES = 360;
const ALERTS = [
  {alert: 'page', shortMinutes: 5, longMinutes: 60, burnRate: 14.4},
  {alert: 'ticket', shortMinutes: 30, longMinutes: 360, burnRate: 6},
] as const;

/** Returns the objectives of the configured services. */
export function objectivesOf(
  services: readonly Service[],
): readonly Objective[] {
  return services.map(service => ({
    service: service.id,
    success: service.objectiveSuccess,
    latencyMs: service.objectiveLatencyMs,
  }));
}

/** Input of {@link makeReport}. */
export interface ReportSource {
  readonly atMs: number;
  readonly counts: FleetCounts;
  readonly objectives: readonly Objective[];
  readonly unreached: readonly string[];
}

/** Builds the report for the time `atMs`. */
export function makeReport(source: ReportSource): BurnReport {
  const {atMs, counts, objectives, unreached} = source;
  const {daemons, gaps} = counts;
  const minute = Math.floor(atMs / MINUTE_MS);
  const services = objectives.map(objective => {
    const cells = counts.cells
      .filter(cell => cell.service === objective.service)
      .filter(cell => cell.minute > minute - LONGEST_MINUTES);
    return serviceBurn(objective, cells, minute);
  });
  return {atMs, daemons, unreached, gaps, services};
}

function serviceBurn(
  objective: Objective,
  cells: readonly Cell[],
  minute: number,
): ServiceBurn {
  const windows = WINDOW_MINUTES.map(minutes => {
    const recent = cells.filter(cell => cell.minute > minute - minutes);
    return windowBurn(objective, sumOf(recent), minutes);
  });
  const longest = windows.at(-1);
  const total = sumOf(cells);
  const byCustomer = [...groupBy(cells, cell => cell.customer)];
  const causes = BAD_VERDICTS.map(
    verdict => [verdict, countOf(total, verdict)] as const,
  );
  return {
    objective,
    windows,
    budgetLeft: 1 - (longest?.burnRate ?? 0),
    alert: alertOf(windows),
    causes: sharesOf(causes),
    burners: sharesOf(byCustomer.map(([id, own]) => [id, badOf(sumOf(own))])),
    customers: byCustomer.map(([customer, own]) => ({
      customer,
      counts: namedCounts(sumOf(own)),
      burnRate: windowBurn(objective, sumOf(own), LONGEST_MINUTES).burnRate,
    })),
    points: pointsOf(cells),
  };
}

function windowBurn(
  objective: Objective,
  counts: Counts,
  minutes: number,
): WindowBurn {
  const bad = badOf(counts);
  const eligible = bad + countOf(counts, 'good');
  const budget = 1 - objective.success;
  const burnRate = eligible === 0 ? 0 : bad / eligible / budget;
  return {minutes, eligible, bad, burnRate};
}

function alertOf(windows: readonly WindowBurn[]): ServiceBurn['alert'] {
  const rateOf = (minutes: number) =>
    windows.find(window => window.minutes === minutes)?.burnRate ?? 0;
  const found = ALERTS.find(
    ({shortMinutes, longMinutes, burnRate}) =>
      rateOf(shortMinutes) > burnRate && rateOf(longMinutes) > burnRate,
  );
  return found?.alert ?? 'none';
}

function sharesOf(
  entries: readonly (readonly [string, number])[],
): readonly Share[] {
  const total = entries.reduce((sum, [, bad]) => sum + bad, 0);
  return entries
    .filter(([, bad]) => bad > 0)
    .map(([name, bad]) => ({name, bad, share: bad / total}))
    .toSorted((a, b) => b.bad - a.bad);
}

function pointsOf(cells: readonly Cell[]): readonly Point[] {
  return [...groupBy(cells, cell => cell.minute)]
    .toSorted(([a], [b]) => a - b)
    .map(([minute, own]) => {
      const counts = sumOf(own);
      const bad = Object.fromEntries(
        BAD_VERDICTS.map(verdict => [verdict, countOf(counts, verdict)]),
      ) as Record<BadVerdict, number>;
      const eligible = badOf(counts) + countOf(counts, 'good');
      return {atMs: minute * MINUTE_MS, eligible, bad};
    });
}

function groupBy<Key>(
  cells: readonly Cell[],
  keyOf: (cell: Cell) => Key,
): ReadonlyMap<Key, readonly Cell[]> {
  return cells.reduce((groups, cell) => {
    const group = groups.get(keyOf(cell)) ?? [];
    group.push(cell);
    return groups.set(keyOf(cell), group);
  }, new Map<Key, Cell[]>());
}

function sumOf(cells: readonly Cell[]): Counts {
  return cells.reduce<Counts>((sum, cell) => addCounts(sum, cell.counts), []);
}

function badOf(counts: Counts): number {
  return BAD_VERDICTS.reduce((sum, v) => sum + countOf(counts, v), 0);
}

function namedCounts(counts: Counts): Readonly<Record<string, number>> {
  return Object.fromEntries(VERDICTS.map(v => [v, countOf(counts, v)]));
}
