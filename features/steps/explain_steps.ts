/** Steps that explain requests from log lines. */
import {Given, Then, When, type DataTable} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {
  countRefusals,
  parseLog,
  slowestOf,
  storyOf,
} from '../../src/commands/explain.js';
import type {World} from '../support/world.js';

type Row = Readonly<Record<string, unknown>>;

interface ExplainWorld extends World {
  logText?: string;
  rows?: readonly Row[];
}

function textOfRow({time, status, tookMs, ...names}: Row): string {
  const line = {
    ...names,
    time: new Date(Number(time)).toISOString(),
    status: Number(status),
    // Lines that end no request have no such field.
    ...(tookMs === '' ? {} : {tookMs: Number(tookMs)}),
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
