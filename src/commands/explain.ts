/**
 * `explain`: finds one request's story in the decision logs of many daemons,
 * counts why requests were not served, how they ended by route or customer, or
 * how many were repeated. Lines are read from files, or from standard input if
 * none is named.
 */
import {readFileSync} from 'node:fs';
import {
  command,
  flag,
  oneOf,
  option,
  optional,
  restPositionals,
  string,
  type Type,
} from 'cmd-ts';
import {
  GROUPING_NAMES,
  outcomeTable,
  type GroupingName,
} from './outcome_table.js';
import {busiestRepeats} from './repeat_windows.js';

/** One line of a decision log. */
interface LogLine {
  readonly time: string;
  readonly vm: string;
  readonly event: string;
  readonly id?: string;
  readonly [field: string]: unknown;
}

const STDIN_FD = 0;
/** Requests that `--slowest` lists. */
const SLOWEST_COUNT = 20;

/** The command itself. */
export const explain = command({
  name: 'explain',
  description: 'Explain a request from the logs of all daemons.',
  args: {
    id: option({
      long: 'id',
      type: optional(string),
      description: 'The id of the request.',
    }),
    refused: flag({
      long: 'refused',
      description: 'Count requests that were not served, by cause.',
    }),
    slowest: flag({
      long: 'slowest',
      description: 'List the requests that callers waited for longest.',
    }),
    repeats: flag({
      long: 'repeats',
      description: 'Count the repeats of each service in its busiest 10 s.',
    }),
    outcomes: option({
      long: 'outcomes',
      type: optional(oneOf(GROUPING_NAMES) as Type<string, GroupingName>),
      description: 'Count how requests ended, grouped by this property.',
    }),
    json: flag({long: 'json', description: 'Print JSON.'}),
    files: restPositionals({type: string, displayName: 'log files'}),
  },
  handler: ({json, files, ...question}) => {
    const sources = files.length > 0 ? files : [STDIN_FD];
    const lines = sources.flatMap(source =>
      parseLog(readFileSync(source, 'utf8')),
    );
    const result = resultOf(lines, question);
    const text = json
      ? JSON.stringify(result)
      : result.map(row => textOf(row)).join('\n');
    process.stdout.write(`${text}\n`);
  },
});

interface Question {
  readonly id: string | undefined;
  readonly refused: boolean;
  readonly slowest: boolean;
  readonly repeats: boolean;
  readonly outcomes: GroupingName | undefined;
}

function resultOf(
  lines: readonly LogLine[],
  {id, refused, slowest, repeats, outcomes}: Question,
): readonly Readonly<Record<string, unknown>>[] {
  if (refused) return countRefusals(lines);
  if (slowest) return slowestOf(lines);
  if (repeats) return busiestRepeats(lines).map(window => ({...window}));
  if (outcomes) return outcomeTable(lines, outcomes).map(row => ({...row}));
  return storyOf(lines, id ?? '');
}

/** The lines of a log; what stands before a line's JSON is passed over. */
export function parseLog(text: string): readonly LogLine[] {
  return text.split('\n').flatMap(line => {
    const start = line.indexOf('{');
    if (start < 0) return [];
    try {
      const value = JSON.parse(line.slice(start)) as Partial<LogLine>;
      return typeof value.event === 'string' ? [value as LogLine] : [];
    } catch {
      // Other programs may write to the same log.
      return [];
    }
  });
}

/**
 * The lines of one request, and what its daemons came to believe meanwhile.
 * The clocks of VMs differ by some milliseconds: lines of one VM are in the
 * order in which it wrote them, lines of different VMs only about so.
 */
export function storyOf(
  lines: readonly LogLine[],
  id: string,
): readonly LogLine[] {
  return lines
    .filter(line => line.id === id)
    .toSorted((a, b) => a.time.localeCompare(b.time));
}

/** How often requests were not served for which reason, most first. */
export function countRefusals(
  lines: readonly LogLine[],
): readonly Readonly<Record<string, unknown>>[] {
  const counts = new Map<string, number>();
  lines
    .filter(({event}) => event === 'not-served')
    .forEach(({route, status, reason, ran}) => {
      const key = JSON.stringify({route, status, reason, ran});
      counts.set(key, (counts.get(key) ?? 0) + 1);
    });
  return [...counts]
    .toSorted(([, a], [, b]) => b - a)
    .map(([key, count]) => ({
      count,
      ...(JSON.parse(key) as Readonly<Record<string, unknown>>),
    }));
}

/** Requests by how long their callers waited, the longest first. */
export function slowestOf(
  lines: readonly LogLine[],
): readonly Readonly<Record<string, unknown>>[] {
  return lines
    .filter(({event}) => event === 'answered' || event === 'not-served')
    .filter(({tookMs}) => typeof tookMs === 'number')
    .toSorted((a, b) => Number(b.tookMs) - Number(a.tookMs))
    .slice(0, SLOWEST_COUNT)
    .map(({tookMs, id, vm, route, status, reason}) => ({
      tookMs,
      id,
      vm,
      route,
      status,
      reason,
    }));
}

function textOf(row: Readonly<Record<string, unknown>>): string {
  return Object.entries(row)
    .map(([name, value]) => `${name}=${String(value)}`)
    .join(' ');
}
