/**
 * Renders the report as a self-contained HTML page with inline styles and
 * plots. A plot has one bar per minute, stacked by the verdicts that spent the
 * error budget, and a line at the share of bad requests that the objective
 * allows.
 */
import {
  type BurnReport,
  type CustomerBurn,
  type Point,
  type ServiceBurn,
} from './burn.js';
import {LABELS, missingLines, objectiveText, percent} from './text.js';
import {BAD_VERDICTS, VERDICTS, type BadVerdict} from './verdict.js';

const WIDTH_PX = 720;
const HEIGHT_PX = 160;
const MARGIN_PX = 44;
const MIN_BARS = 30;
const MINUTE_MS = 60_000;
const COLORS: Readonly<Record<BadVerdict, string>> = {
  slow: '#c9a227',
  refused: '#7b5ea7',
  failed: '#c0392b',
  unknown: '#566573',
};
const STYLE = `
body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:820px;
padding:0 1rem;color:#1c2833}
table{border-collapse:collapse;margin:.5rem 0 1rem}
th,td{padding:.15rem .8rem .15rem 0;text-align:right}
th:first-child,td:first-child{text-align:left}
th{font-weight:600;border-bottom:1px solid #aeb6bf}
svg{width:100%;height:auto}.missing{border-left:4px solid #c0392b;
padding-left:.8rem}.page{color:#c0392b}.ticket{color:#b9770e}
.key{display:inline-block;width:.8em;height:.8em;margin:0 .3em 0 1em}`;

/** Renders the HTML page. */
export function reportHtml(report: BurnReport): string {
  const at = new Date(report.atMs).toISOString();
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>${escape(at)}, from ${report.daemons.length} daemons.</p>
${missingHtml(report)}${report.services.map(serviceHtml).join('\n')}
</body></html>
`;
}

function missingHtml(report: BurnReport): string {
  const lines = missingLines(report).map(line => `<li>${escape(line)}</li>`);
  if (lines.length === 0) return '';
  return `<div class="missing"><p>Missing from the counts:</p>
<ul>${lines.join('')}</ul></div>`;
}

function serviceHtml(burn: ServiceBurn): string {
  const {objective, alert} = burn;
  return `<h2>${escape(objective.service)}</h2>
<p>Objective ${escape(objectiveText(burn))}; budget left
<b>${percent(burn.budgetLeft)}</b>; alert <b class="${alert}">${alert}</b>.</p>
${plot(burn)}
<table><tr><th>Window</th><th>Requests</th><th>Bad</th><th>Burn rate</th></tr>
${burn.windows
  .map(({minutes, eligible, bad, burnRate}) =>
    row([`${minutes} min`, String(eligible), String(bad), burnRate.toFixed(2)]),
  )
  .join('\n')}</table>
${customersHtml(burn.customers)}`;
}

function customersHtml(customers: readonly CustomerBurn[]): string {
  const titles = VERDICTS.map(verdict => `<th>${LABELS[verdict]}</th>`);
  const rows = customers.map(({customer, counts}) =>
    row([customer, ...VERDICTS.map(verdict => String(counts[verdict] ?? 0))]),
  );
  return `<table><tr><th>Customer</th>${titles.join('')}</tr>
${rows.join('\n')}</table>`;
}

function row(values: readonly string[]): string {
  return `<tr>${values.map(v => `<td>${escape(v)}</td>`).join('')}</tr>`;
}

/** Draws the share of bad requests by minute. */
function plot({points, objective}: ServiceBurn): string {
  if (points.length === 0) return '<p>No requests yet.</p>';
  const allowed = 1 - objective.success;
  const shares = points.map(badShare);
  const top = Math.max(allowed * 2, ...shares);
  const lastMs = points.at(-1)?.atMs ?? 0;
  const firstMs = Math.min(points[0]?.atMs ?? 0, lastMs - MIN_BARS * MINUTE_MS);
  const bars = (lastMs - firstMs) / MINUTE_MS + 1;
  const barWidth = (WIDTH_PX - MARGIN_PX) / bars;
  const scaleY = (HEIGHT_PX - MARGIN_PX) / top;
  const body = points.map(point => {
    const x = MARGIN_PX + ((point.atMs - firstMs) / MINUTE_MS) * barWidth;
    return bar(point, {x, width: barWidth * 0.85, scaleY});
  });
  const lineY = HEIGHT_PX - MARGIN_PX / 2 - allowed * scaleY;
  const baseY = HEIGHT_PX - MARGIN_PX / 2;
  return `<svg viewBox="0 0 ${WIDTH_PX} ${HEIGHT_PX}" role="img"
aria-label="Share of bad requests by minute">${body.join('')}
<line x1="${MARGIN_PX}" x2="${WIDTH_PX}" y1="${baseY}" y2="${baseY}"
stroke="#aeb6bf"/><line x1="${MARGIN_PX}" x2="${WIDTH_PX}" y1="${lineY}"
y2="${lineY}" stroke="#1c2833" stroke-dasharray="4 3"/>
${label(0, lineY, percent(allowed))}${label(0, baseY, '0')}
${label(0, baseY - top * scaleY, percent(top))}
${label(MARGIN_PX, HEIGHT_PX, timeText(firstMs))}
${label(WIDTH_PX - MARGIN_PX, HEIGHT_PX, timeText(lastMs))}</svg>
<p>${BAD_VERDICTS.map(legend).join('')}
<span class="key">┄</span>allowed</p>`;
}

interface BarPlace {
  readonly x: number;
  readonly width: number;
  readonly scaleY: number;
}

function bar(point: Point, {x, width, scaleY}: BarPlace): string {
  let y = HEIGHT_PX - MARGIN_PX / 2;
  const title = `${timeText(point.atMs)}: ${percent(badShare(point))} of ${
    point.eligible
  }`;
  const parts = BAD_VERDICTS.map(verdict => {
    const share = point.bad[verdict] / Math.max(1, point.eligible);
    const height = share * scaleY;
    y -= height;
    return rect({x, y, width, height}, COLORS[verdict]);
  });
  return `<g><title>${escape(title)}</title>${parts.join('')}</g>`;
}

function rect(
  box: Readonly<Record<'x' | 'y' | 'width' | 'height', number>>,
  color: string,
): string {
  const places = Object.entries(box).map(([k, v]) => `${k}="${v.toFixed(2)}"`);
  return `<rect ${places.join(' ')} fill="${color}"/>`;
}

function label(x: number, y: number, text: string): string {
  return `<text x="${x}" y="${y}" font-size="11">${escape(text)}</text>`;
}

function legend(verdict: BadVerdict): string {
  const color = COLORS[verdict];
  const key = `<span class="key" style="background:${color}"></span>`;
  return `${key}${LABELS[verdict]}`;
}

function badShare({bad, eligible}: Point): number {
  const sum = BAD_VERDICTS.reduce((total, v) => total + bad[v], 0);
  return sum / Math.max(1, eligible);
}

function timeText(atMs: number): string {
  return new Date(atMs).toISOString().slice(11, 16);
}

function escape(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
