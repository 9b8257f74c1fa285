/** Steps that explore specifications, whole or with a rule left out. */
import {Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {atMostOnce} from '../at_most_once.js';
import {configurationForce} from '../configuration_force.js';
import {configurationOrder} from '../configuration_order.js';
import {escrow, ESCROW_RULES} from '../escrow.js';
import {ejectionFloor} from '../ejection_floor.js';
import {evacuation, EVACUATION_RULES} from '../evacuation.js';
import {explore, rulesWithout, type Exploration} from '../explore.js';
import {quarantine, QUARANTINE_RULES} from '../quarantine.js';
import {repeatTokens, REPEAT_TOKENS_RULES} from '../repeat_tokens.js';
import {witnesses, WITNESS_RULES} from '../witnesses.js';

interface SpecificationWorld {
  exploration: Exploration | undefined;
}

/** Explores a specification without the named rule, or with all. */
type Explorer = (without: string | undefined) => Exploration;

const FORCE_RULES = ['vouchedOnly', 'floor'] as const;
const ORDER_RULES = ['onlyForward', 'compare'] as const;
const FLOOR_RULES = [
  'permitNeeded',
  'countFromAsk',
  'countPermits',
  'vouchNeeded',
  'waitAfterMove',
  'waitAfterStart',
] as const;
const CLAIM_RULES = [
  'claimBoth',
  'memory',
  'silence',
  'confirm',
  'releaseNotRun',
] as const;

const EXPLORERS: Readonly<Record<string, Explorer>> = {
  escrow: without => explore(escrow(rulesWithout(ESCROW_RULES, without))),
  'at most once': without =>
    explore(atMostOnce(rulesWithout(CLAIM_RULES, without))),
  witnesses: without =>
    explore(witnesses(rulesWithout(WITNESS_RULES, without))),
  'configuration in force': without =>
    explore(configurationForce(rulesWithout(FORCE_RULES, without))),
  'configuration order': without =>
    explore(configurationOrder(rulesWithout(ORDER_RULES, without))),
  quarantine: without =>
    explore(quarantine(rulesWithout(QUARANTINE_RULES, without))),
  evacuation: without =>
    explore(evacuation(rulesWithout(EVACUATION_RULES, without))),
  'repeat tokens': without =>
    explore(repeatTokens(rulesWithout(REPEAT_TOKENS_RULES, without))),
  'ejection floor': without =>
    explore(ejectionFloor(rulesWithout(FLOOR_RULES, without))),
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
