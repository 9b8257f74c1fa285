/** Steps that write log lines for a reader that is slow. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {HeldReader} from '../support/held_reader.js';
import type {World} from '../support/world.js';

interface LogWorld extends World {
  reader?: HeldReader;
  read?: string;
}

function readerOf({reader}: LogWorld): HeldReader {
  assert.ok(reader, 'no reader');
  return reader;
}

Given('a log whose reader takes nothing', function (this: LogWorld) {
  this.reader = new HeldReader();
});

When(
  '{int} lines of {int} characters are written',
  function (this: LogWorld, count: number, length: number) {
    const {sink} = readerOf(this);
    Array.from({length: count}, () => sink.add('x'.repeat(length)));
  },
);

Then('at most {int} characters wait', function (this: LogWorld, most: number) {
  const {waiting} = readerOf(this);
  assert.ok(waiting > 0 && waiting <= most, String(waiting));
});

When('the reader reads again', function (this: LogWorld) {
  this.read = readerOf(this).read();
});

Then('a line tells how many lines were dropped', function (this: LogWorld) {
  assert.match(this.read ?? '', /"log-lines-dropped","count":\d+/);
});
