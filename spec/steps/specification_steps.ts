/** Steps that explore specifications, whole or with a rule left out. */
import {Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {configurationForce} from '../configuration_force.js';
import {configurationOrder} from '../configuration_order.js';
import {ejectionFloor} from '../ejection_floor.js';
import {explore, type Exploration} from '../explore.js';

interface SpecificationWorld {
  exploration: Exploration | undefined;
}

/** Explores a specification without the named rule, or with all. */
type Explorer = (without: string | undefined) => Exploration;

const EXPLORERS: Readonly<Record<string, Explorer>> = {
  'configuration in force': without =>
    explore(
      configurationForce({
        vouchedOnly: without !== 'vouchedOnly',
        floor: without !== 'floor',
      }),
    ),
  'configuration order': without =>
    explore(
      configurationOrder({
        onlyForward: without !== 'onlyForward',
        compare: without !== 'compare',
      }),
    ),
  'ejection floor': without =>
    explore(
      ejectionFloor({
        permitNeeded: without !== 'permitNeeded',
        countFromAsk: without !== 'countFromAsk',
        countPermits: without !== 'countPermits',
        vouchNeeded: without !== 'vouchNeeded',
        waitAfterMove: without !== 'waitAfterMove',
        waitAfterStart: without !== 'waitAfterStart',
      }),
    ),
};

function run(name: string, without?: string): Exploration {
  const explorer = EXPLORERS[name];
  assert.ok(explorer, `no specification ${name}`);
  const exploration = explorer(without);
  const rule = without === undefined ? 'all rules' : `without ${without}`;
  process.stdout.write(`\n${name}, ${rule}: ${exploration.states} states\n`);
  return exploration;
}

When('{string} is explored', function (this: SpecificationWorld, name: string) {
  this.exploration = run(name);
});

When(
  '{string} is explored without the rule {string}',
  function (this: SpecificationWorld, name: string, rule: string) {
    this.exploration = run(name, rule);
  },
);

Then('no state is unsafe', function (this: SpecificationWorld) {
  assert.equal(this.exploration?.counterexample, undefined);
});

Then('an unsafe state is found', function (this: SpecificationWorld) {
  assert.ok(this.exploration?.counterexample);
});
