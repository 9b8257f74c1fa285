/** Formats the report as plain text for operators. */
import type {BurnReport, ServiceBurn, Share} from './burn.js';
import type {Gap} from './merge.js';

/** Display name of each verdict. */
export const LABELS: Readonly<Record<string, string>> = {
  good: 'good',
  slow: 'slow',
  overRate: 'refused over rate',
  refused: 'refused within rate',
  failed: 'backend failure',
  unknown: 'unknown outcome',
  cancelled: 'cancelled',
  repeated: 'repeated key',
};

/** Formats a share from 0 to 1 as a percentage. */
export function percent(share: number): string {
  return `${(share * 100).toFixed(Math.abs(share) < 0.1 ? 2 : 1)}%`;
}

/** Formats a service's objective. */
export function objectiveText({objective}: ServiceBurn): string {
  return `${percent(objective.success)} within ${objective.latencyMs} ms`;
}

/** Lists the members and periods whose counts the report lacks. */
export function missingLines(report: BurnReport): readonly string[] {
  return [
    ...report.unreached.map(id => `${id} did not answer.`),
    ...report.gaps.map(gapText),
  ];
}

/** Formats the whole report. */
export function reportText(report: BurnReport): string {
  const missing = missingLines(report);
  const lines = [
    `Service-level burn at ${new Date(report.atMs).toISOString()}, ` +
      `from ${report.daemons.length} daemons`,
    ...(missing.length > 0
      ? ['Missing from the counts:', ...missing.map(line => `  ${line}`)]
      : ['Nothing is known to be missing from the counts.']),
    ...report.services.flatMap(serviceLines),
  ];
  return `${lines.join('\n')}\n`;
}

function serviceLines(burn: ServiceBurn): readonly string[] {
  const windows = burn.windows.map(
    ({minutes, eligible, bad, burnRate}) =>
      `  ${`${minutes} min`.padStart(8)} ${String(eligible).padStart(9)} ` +
      `requests ${String(bad).padStart(7)} bad ` +
      `  burn rate ${burnRate.toFixed(2)}`,
  );
  return [
    '',
    `${burn.objective.service}: ${objectiveText(burn)}, ` +
      `budget left ${percent(burn.budgetLeft)}, alert ${burn.alert}`,
    ...windows,
    ...shareLine('why', burn.causes),
    ...shareLine('who', burn.burners),
    ...burn.customers.map(
      ({customer, counts}) => `  ${customer}: ${countsText(counts)}`,
    ),
  ];
}

function shareLine(title: string, shares: readonly Share[]): readonly string[] {
  if (shares.length === 0) return [];
  const parts = shares.map(
    ({name, share}) => `${LABELS[name] ?? name} ${percent(share)}`,
  );
  return [`  ${title}: ${parts.join(', ')}`];
}

function countsText(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .filter(([, count]) => count > 0)
    .map(([verdict, count]) => `${LABELS[verdict] ?? verdict} ${count}`)
    .join(', ');
}

function gapText({daemon, fromMs, untilMs, reason}: Gap): string {
  const time = (ms: number) => new Date(ms).toISOString();
  return `${daemon} from ${time(fromMs)} to about ${time(untilMs)}: ${reason}.`;
}
