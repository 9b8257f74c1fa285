/** Steps that explain requests from log lines. */
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  countRefusals,
  parseLog,
  slowestOf,
  storyOf,
} from '../../src/commands/explain.js';
import {
  outcomeTable,
  type GroupingName,
} from '../../src/commands/outcome_table.js';
import type {World} from '../support/world.js';

type Row = Readonly<Record<string, unknown>>;

interface ExplainWorld extends World {
  logText?: string;
  rows?: readonly Row[];
}

const NUMBERS: ReadonlySet<string> = new Set([
  'atMs',
  'objectiveMs',
  'status',
  'tookMs',
]);

function textOfRow({time, ...fields}: Row): string {
  const values = Object.entries(fields)
    // A line has only the fields that its event needs.
    .filter(([, value]) => value !== '')
    .map(([name, value]) => [name, NUMBERS.has(name) ? Number(value) : value]);
  const line = {
    ...(Object.fromEntries(values) as Row),
    time: new Date(Number(time ?? 0)).toISOString(),
  };
  return `out: ${JSON.stringify(line)}`;
}

Given(
  'these log lines, among others that are no JSON:',
  function (this: ExplainWorld, table: DataTable) {
    const lines = table.hashes().map(textOfRow);
    this.logText = ['started', ...lines, '{cut off'].join('\n');
  },
);

When(
  'the request {string} is explained',
  function (this: ExplainWorld, id: string) {
    this.rows = storyOf(parseLog(this.logText ?? ''), id);
  },
);

When('refusals are counted', function (this: ExplainWorld) {
  this.rows = countRefusals(parseLog(this.logText ?? ''));
});

When('the slowest requests are listed', function (this: ExplainWorld) {
  this.rows = slowestOf(parseLog(this.logText ?? ''));
});

When(
  'outcomes are grouped by {string}',
  function (this: ExplainWorld, name: GroupingName) {
    const table = outcomeTable(parseLog(this.logText ?? ''), name);
    this.rows = table.map(row => ({...row}));
  },
);

Then('the table is:', function (this: ExplainWorld, table: DataTable) {
  const texts = this.rows?.map(row =>
    Object.fromEntries(
      Object.entries(row).map(([name, value]) => [name, String(value)]),
    ),
  );
  assert.deepEqual(texts, table.hashes());
});

Then('the events are {string}', function (this: ExplainWorld, list: string) {
  assert.deepEqual(
    this.rows?.map(({event}) => event),
    list.split(','),
  );
});

Then('the counts are {string}', function (this: ExplainWorld, list: string) {
  const counts = this.rows?.map(
    ({count, reason}) => `${String(count)} ${String(reason)}`,
  );
  assert.deepEqual(counts, list.split(','));
});

Then('the ids are {string}', function (this: ExplainWorld, list: string) {
  assert.deepEqual(
    this.rows?.map(({id}) => id),
    list.split(','),
  );
});
