/** Steps that load the fleet and check which requests started at instances. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {until} from '../support/fleet.js';
import {
  OpenLoopLoad,
  maxInWindow,
  countOutcomes,
  worstWindowExcess,
  type LoadAnswer,
} from '../support/open_loop_load.js';
import {runsOfAll} from '../support/runs.js';
import type {World} from '../support/world.js';

const SERVED_TIMEOUT_MS = 20_000;

/** The load of each customer, per scenario. */
const loads = new WeakMap<World, Map<string, OpenLoopLoad>>();

function loadOf(world: World, customer: string): OpenLoopLoad {
  const load = loads.get(world)?.get(customer);
  assert.ok(load, `no load was started for ${customer}`);
  return load;
}

function answersOf(world: World, customer: string): readonly LoadAnswer[] {
  const {answers} = loadOf(world, customer);
  process.stdout.write(`\n${customer}: ${countOutcomes(answers)}\n`);
  return answers;
}

function startLoad(
  world: World,
  customer: string,
  perSecond: number,
  daemons: string,
  atOnce: number,
  path = '/ledger/balances',
): void {
  const known = loads.get(world) ?? new Map<string, OpenLoopLoad>();
  loads.set(world, known);
  const load = new OpenLoopLoad({
    targets: daemons
      .split(' ')
      .map(id => world.fleet.daemon(id).addresses.callers),
    path,
    key: world.keys.get(customer) ?? '',
    requestsPerS: perSecond,
    batchSize: atOnce,
  });
  known.set(customer, load);
}

/** Counts requests with an unknown outcome. */
function countLost(world: World, customer: string): number {
  const answers = answersOf(world, customer);
  return answers.filter(({status}) => status === 0 || status === 502).length;
}

/** Number of lost requests of a scenario when they were last counted. */
const lostCounts = new WeakMap<World, number>();

async function startsOf(
  world: World,
  customer: string,
): Promise<readonly number[]> {
  const runs = await runsOfAll(world);
  return runs
    .filter(run => run.customer === customer)
    .map(run => run.startedMs);
}

async function excessOf(world: World, customer: string, rate: number) {
  const starts = await startsOf(world, customer);
  const excess = worstWindowExcess(starts, rate);
  const text = `${starts.length} starts, worst window ${excess.toFixed(1)}`;
  process.stdout.write(`\n${customer}: ${text}\n`);
  return excess;
}

Given(
  '{string} is served through {string}',
  async function (this: World, customer: string, daemons: string) {
    const headers = {'x-api-key': this.keys.get(customer) ?? ''};
    const served = async (daemon: string) => {
      const answer = await this.request(daemon, '/ledger/balances', {headers});
      return answer.status === 200;
    };
    await until(
      `${customer} is served`,
      async () => {
        const all = await Promise.all(daemons.split(' ').map(served));
        return all.every(Boolean);
      },
      SERVED_TIMEOUT_MS,
    );
  },
);

Given(
  'daemons {string} run the mutant {string}',
  async function (this: World, daemons: string, mutant: string) {
    await this.fleet.startStore();
    for (const [index, id] of daemons.split(' ').entries()) {
      const failureDomain = `domain-${index + 1}`;
      await this.fleet.startDaemon({id, failureDomain, mutant});
    }
  },
);

When(
  '{string} sends {int} requests a second through {string}',
  function (this: World, customer: string, rate: number, daemons: string) {
    startLoad(this, customer, rate, daemons, 1);
  },
);

When(
  '{string} sends {int} requests a second through {string}, {int} at once',
  function (
    this: World,
    customer: string,
    rate: number,
    daemons: string,
    atOnce: number,
  ) {
    startLoad(this, customer, rate, daemons, atOnce);
  },
);

When(
  '{string} sends {int} requests a second for {string} through {string}',
  function (
    this: World,
    customer: string,
    rate: number,
    path: string,
    daemons: string,
  ) {
    startLoad(this, customer, rate, daemons, 1, path);
  },
);

When('all load ends', async function (this: World) {
  const all = [...(loads.get(this)?.values() ?? [])];
  await Promise.all(all.map(load => load.stop()));
});

When(
  'daemon {string} is started in {string}',
  async function (this: World, id: string, failureDomain: string) {
    await this.fleet.startDaemon({id, failureDomain});
  },
);

Then(
  '{string} started at most {int} + {int} a second in every window',
  async function (this: World, customer: string, burst: number, rate: number) {
    const excess = await excessOf(this, customer, rate);
    assert.ok(excess <= maxInWindow(burst, rate), String(excess));
  },
);

Then(
  'within {int} s {string} started more than {int} + {int} a second in some window',
  async function (
    this: World,
    seconds: number,
    customer: string,
    burst: number,
    rate: number,
  ) {
    const isOver = async () => {
      const excess = worstWindowExcess(await startsOf(this, customer), rate);
      return excess > maxInWindow(burst, rate);
    };
    await until(`${customer} is over its rate`, isOver, seconds * 1000);
    await loadOf(this, customer).stop();
  },
);

Then(
  'at most {int} % of the requests of {string} were refused',
  function (this: World, percent: number, customer: string) {
    const answers = answersOf(this, customer);
    const refused = answers.filter(answer => answer.status !== 200);
    const share = (100 * refused.length) / answers.length;
    assert.ok(share <= percent, `${share.toFixed(2)} %`);
  },
);

Then(
  'at least {int} requests of {string} were served',
  function (this: World, count: number, customer: string) {
    const answers = answersOf(this, customer);
    const served = answers.filter(answer => answer.status === 200);
    assert.ok(served.length >= count, String(served.length));
  },
);

When(
  'the lost requests of {string} are counted',
  function (this: World, customer: string) {
    lostCounts.set(this, countLost(this, customer));
  },
);

Then(
  'no further request of {string} was lost',
  function (this: World, customer: string) {
    assert.equal(countLost(this, customer), lostCounts.get(this));
  },
);
