/**
 * Finds the busiest window of repeats of each service in decision logs, to see
 * how near it came to what the operators allow, and which daemons kept the
 * budget meanwhile.
 */

/** What is read of a line. */
export interface RepeatLine {
  readonly time: string;
  readonly event: string;
  readonly [field: string]: unknown;
}

/** The window of one service that saw most repeats. */
export interface RepeatWindow {
  readonly service: string;
  /** Wall clock at the first repeat. */
  readonly from: string;
  /** Requests that were sent to a further instance. */
  readonly repeats: number;
  /** Calls that repeats made. */
  readonly calls: number;
  readonly overBudget: number;
  /** Daemons that were taken for the owner of the budget. */
  readonly owners: readonly string[];
}

/** As the users' operators state it. */
const WINDOW_MS = 10_000;
const COUNTED: ReadonlySet<string> = new Set(['repeat', 'repeat-call']);
const EVENTS: ReadonlySet<string> = new Set([...COUNTED, 'repeat-over-budget']);

/** The busiest window of each service, the busiest first. */
export function busiestRepeats(
  lines: readonly RepeatLine[],
): readonly RepeatWindow[] {
  const known = lines.filter(({event}) => EVENTS.has(event));
  const services = new Set(known.map(({service}) => String(service)));
  return [...services]
    .map(name => {
      const own = known.filter(({service}) => String(service) === name);
      return busiestOf(name, own);
    })
    .toSorted((a, b) => b.repeats + b.calls - a.repeats - a.calls);
}

function busiestOf(
  service: string,
  lines: readonly RepeatLine[],
): RepeatWindow {
  const inOrder = lines.toSorted((a, b) => a.time.localeCompare(b.time));
  const windows = inOrder.map(({time}, first) => {
    const endMs = Date.parse(time) + WINDOW_MS;
    const after = inOrder.slice(first);
    const end = after.findIndex(line => Date.parse(line.time) >= endMs);
    return end < 0 ? after : after.slice(0, end);
  });
  const busiest = windows.reduce((a, b) => (weightOf(b) > weightOf(a) ? b : a));
  const count = (event: string) =>
    busiest.filter(line => line.event === event).length;
  const owners = busiest.flatMap(({owner}) => owner ?? []).map(String);
  return {
    service,
    from: busiest[0]?.time ?? '',
    repeats: count('repeat'),
    calls: count('repeat-call'),
    overBudget: count('repeat-over-budget'),
    owners: [...new Set(owners)].toSorted(),
  };
}

function weightOf(lines: readonly RepeatLine[]): number {
  return lines.filter(({event}) => COUNTED.has(event)).length;
}
