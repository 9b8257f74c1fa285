/** Steps that play one seed of the soak. */
import {Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type {World} from '../support/world.js';
import {soak, type SoakResult} from '../../soak/soak.js';

interface SoakWorld extends World {
  result?: SoakResult;
}

const DAEMONS = 3;
/** Start, faults and recovery each have a bound of their own. */
const timeout = 180_000;

When(
  'seed {int} is soaked for {int} s',
  {timeout},
  async function (this: SoakWorld, seed: number, seconds: number) {
    this.result = await soak(seed, {daemons: DAEMONS, seconds});
  },
);

When(
  'seed {int} is soaked for {int} s with the mutant {string}',
  {timeout},
  async function (
    this: SoakWorld,
    seed: number,
    seconds: number,
    mutant: string,
  ) {
    this.result = await soak(seed, {daemons: DAEMONS, seconds, mutant});
  },
);

Then('no rule was broken', function (this: SoakWorld) {
  assert.deepEqual(this.result?.brokenRules, [], JSON.stringify(this.result));
});

Then('the rule {string} was broken', function (this: SoakWorld, rule: string) {
  assert.ok(
    this.result?.brokenRules.includes(rule),
    JSON.stringify(this.result),
  );
});
