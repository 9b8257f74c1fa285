/** Steps that write log lines for a blocked reader. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {parseLog} from '../../src/commands/explain.js';
import {HeldReader} from '../support/held_reader.js';
import type {World} from '../support/world.js';

interface LogWorld extends World {
  reader?: HeldReader;
  read?: string;
  refused?: readonly string[];
}

function readerOf({reader}: LogWorld): HeldReader {
  assert.ok(reader, 'no reader');
  return reader;
}

Given('a log whose reader is blocked', function (this: LogWorld) {
  this.reader = new HeldReader();
});

When(
  '{int} lines of {int} characters are written',
  function (this: LogWorld, count: number, length: number) {
    const {sink} = readerOf(this);
    Array.from({length: count}, () => sink.add('x'.repeat(length)));
  },
);

When(
  '{int} ordinary lines of {int} characters are logged',
  function (this: LogWorld, count: number, length: number) {
    const {log} = readerOf(this);
    const fields = {text: 'x'.repeat(length)};
    Array.from({length: count}, () => log.step('sent', fields));
  },
);

When('{int} requests are refused', function (this: LogWorld, count: number) {
  const {log} = readerOf(this);
  this.refused = Array.from({length: count}, (_, index) => `r-${index}`);
  this.refused.forEach(id => log.failure('not-served', {id, reason: 'busy'}));
});

Then(
  'at most {int} characters are buffered',
  function (this: LogWorld, most: number) {
    const {waiting} = readerOf(this);
    assert.ok(waiting > 0 && waiting <= most, String(waiting));
  },
);

When('the reader resumes', function (this: LogWorld) {
  this.read = readerOf(this).read();
});

Then('a line reports the number of dropped lines', function (this: LogWorld) {
  assert.match(this.read ?? '', /"log-lines-dropped","count":\d+/);
});

Then(
  'each refused request has a line with its reason',
  function (this: LogWorld) {
    const found = parseLog(this.read ?? '')
      .filter(({event, reason}) => event === 'not-served' && reason === 'busy')
      .map(({id}) => id);
    assert.deepEqual(found, this.refused);
  },
);
