/**
 * Tells from decision logs how requests ended and how long they waited, grouped
 * by route, customer, service, VM or failure domain: who waits, who is refused
 * and for which reason.
 */

/** What is read of a line. */
export interface OutcomeLine {
  readonly vm: string;
  readonly event: string;
  readonly id?: string;
  readonly [field: string]: unknown;
}

type Grouping = (
  line: OutcomeLine,
  domainByVm: ReadonlyMap<string, string>,
) => string;

/** How a line is assigned to a group, by what requests are grouped by. */
const GROUPINGS = {
  route: line => textOf(line.route),
  customer: line => textOf(line.customer),
  service: line => textOf(line.service),
  vm: line => line.vm,
  'failure-domain': (line, domainByVm) => domainByVm.get(line.vm) ?? UNKNOWN,
} as const satisfies Readonly<Record<string, Grouping>>;

/** What requests can be grouped by. */
export type GroupingName = keyof typeof GROUPINGS;
/** All names, for the command line. */
export const GROUPING_NAMES = Object.keys(GROUPINGS) as readonly GroupingName[];

/** How the requests of one group ended. All times are in milliseconds. */
export interface OutcomeRow {
  readonly group: string;
  readonly asked: number;
  readonly inObjective: number;
  readonly late: number;
  /** Not run, by reason, most frequent first: `busy 12, over-rate 3`. */
  readonly refused: string;
  /** Run, or perhaps run, without an answer that is of use to the caller. */
  readonly failed: string;
  /** Time from arrival until the request was first sent to an instance. */
  readonly waitP50Ms: number;
  readonly waitP99Ms: number;
  /** Time from arrival until the refusal. */
  readonly refusalP50Ms: number;
  readonly refusalP99Ms: number;
}

/** The first sending of a request; both clocks are those of one daemon. */
interface Sending {
  readonly vm: string;
  readonly atMs: number;
}

const UNKNOWN = '-';
const FINAL_EVENTS: ReadonlySet<string> = new Set(['answered', 'not-served']);
const MEDIAN = 0.5;
const P99 = 0.99;

/** The table, the group with most requests first. */
export function outcomeTable(
  lines: readonly OutcomeLine[],
  groupedBy: GroupingName,
): readonly OutcomeRow[] {
  const domainByVm = new Map(
    lines
      .filter(({event}) => event === 'daemon-started')
      .map(({vm, failureDomain}) => [vm, textOf(failureDomain)]),
  );
  const grouping: Grouping = GROUPINGS[groupedBy];
  const ended = lines.filter(({event}) => FINAL_EVENTS.has(event));
  const sendings = firstSendings(lines);
  return [...groupBy(ended, line => grouping(line, domainByVm))]
    .map(([group, members]) => toRow(group, members, sendings))
    .toSorted((a, b) => b.asked - a.asked);
}

function toRow(
  group: string,
  lines: readonly OutcomeLine[],
  sendings: ReadonlyMap<string, Sending>,
): OutcomeRow {
  const answered = lines.filter(({event}) => event === 'answered');
  const unserved = lines.filter(({event}) => event === 'not-served');
  const refused = unserved.filter(({ran}) => ran === 'no');
  const late = answered.filter(
    ({tookMs, objectiveMs}) => Number(tookMs) > Number(objectiveMs),
  );
  const waits = lines.flatMap(line => waitOf(line, sendings));
  const refusals = refused.map(({tookMs}) => Number(tookMs));
  return {
    group,
    asked: lines.length,
    inObjective: answered.length - late.length,
    late: late.length,
    refused: countReasons(refused),
    failed: countReasons(unserved.filter(({ran}) => ran !== 'no')),
    waitP50Ms: quantileOf(waits, MEDIAN),
    waitP99Ms: quantileOf(waits, P99),
    refusalP50Ms: quantileOf(refusals, MEDIAN),
    refusalP99Ms: quantileOf(refusals, P99),
  };
}

function firstSendings(
  lines: readonly OutcomeLine[],
): ReadonlyMap<string, Sending> {
  const inOrder = lines
    .filter(({event, id}) => event === 'sent' && id !== undefined)
    .toSorted((a, b) => Number(b.atMs) - Number(a.atMs));
  // The earliest line comes last and stays.
  return new Map(
    inOrder.map(({id, vm, atMs}) => [id ?? '', {vm, atMs: Number(atMs)}]),
  );
}

/** The wait of one request; none if it was never sent from this VM. */
function waitOf(
  {id, vm, atMs, tookMs}: OutcomeLine,
  sendings: ReadonlyMap<string, Sending>,
): readonly number[] {
  const sending = sendings.get(id ?? '');
  if (sending?.vm !== vm) return [];
  const arrivedAtMs = Number(atMs) - Number(tookMs);
  return [Math.max(0, sending.atMs - arrivedAtMs)];
}

function countReasons(lines: readonly OutcomeLine[]): string {
  return [...groupBy(lines, ({reason}) => textOf(reason))]
    .toSorted(([, a], [, b]) => b.length - a.length)
    .map(([reason, {length}]) => `${reason} ${length}`)
    .join(', ');
}

function groupBy(
  lines: readonly OutcomeLine[],
  keyOf: (line: OutcomeLine) => string,
): ReadonlyMap<string, readonly OutcomeLine[]> {
  const groups = new Map<string, OutcomeLine[]>();
  lines.forEach(line => {
    const key = keyOf(line);
    const group = groups.get(key) ?? [];
    group.push(line);
    groups.set(key, group);
  });
  return groups;
}

/** The nearest-rank quantile; 0 without values. */
function quantileOf(values: readonly number[], quantile: number): number {
  const sorted = values.toSorted((a, b) => a - b);
  const rank = Math.max(1, Math.ceil(quantile * sorted.length));
  return sorted[rank - 1] ?? 0;
}

function textOf(value: unknown): string {
  return typeof value === 'string' && value !== '' ? value : UNKNOWN;
}
