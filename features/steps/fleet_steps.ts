/** Steps that start a fleet and configure it. */
import {Given, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {until, type InstancePlan} from '../support/fleet.js';
import {untilGenerationInForce} from '../support/generation.js';
import type {World} from '../support/world.js';

const SETTLE_MS = 10_000;

/** Starts an instance and waits until all daemons know of its slots. */
async function startKnown(world: World, plan: InstancePlan): Promise<void> {
  const before = await slotsKnown(world, plan.service);
  await world.fleet.startInstance(plan);
  await until(
    `all daemons know ${plan.id}`,
    async () => {
      const after = await slotsKnown(world, plan.service);
      return after.every((slots, index) => slots > (before[index] ?? 0));
    },
    SETTLE_MS,
  );
}

Given(
  'a store and {int} daemons in {int} failure domains',
  async function (this: World, daemons: number, domains: number) {
    await this.fleet.startStore();
    const numbers = Array.from({length: daemons}, (_, index) => index);
    for (const index of numbers) {
      await this.fleet.startDaemon({
        id: `d${index + 1}`,
        failureDomain: `domain-${(index % domains) + 1}`,
      });
    }
  },
);

Given(
  'an instance {string} of {string} behind daemon {string}',
  async function (this: World, id: string, service: string, daemon: string) {
    await startKnown(this, {id, service, daemons: [daemon]});
  },
);

Given(
  'an instance {string} of {string} with {int} slots and {int} ms behind {string}',
  async function (
    this: World,
    id: string,
    service: string,
    slots: number,
    serviceMs: number,
    daemon: string,
  ) {
    const daemons = [daemon];
    await startKnown(this, {id, service, slots, serviceMs, daemons});
  },
);

/** Slots of a service in the whole fleet, as each daemon sees it. */
async function slotsKnown(
  world: World,
  service: string,
): Promise<readonly number[]> {
  const ids = [...world.fleet.daemons.keys()];
  const all = await Promise.all(ids.map(id => world.fleet.status(id)));
  return all.map(({members}) =>
    members.reduce((sum, member) => sum + (member.slots[service] ?? 0), 0),
  );
}

Given(
  'the generation of all daemons is in force everywhere',
  async function (this: World) {
    await untilGenerationInForce(this.fleet);
  },
);

Given('the sheet:', async function (this: World, text: string) {
  const file = this.fleet.writeFile('sheet.csv', `\uFEFF${text}\r\n`);
  const result = await this.fleet.operate('d1', ['apply', file]);
  assert.equal(result.code, 0, result.stderr);
});

Given('a key for {string}', async function (this: World, customer: string) {
  const result = await this.fleet.operate('d1', ['key', 'issue', customer]);
  assert.equal(result.code, 0, result.stderr);
  const issued = JSON.parse(result.stdout) as {
    readonly id: string;
    readonly key: string;
    readonly revision: number;
  };
  this.keys.set(customer, issued.key);
  this.keyIds.set(customer, issued.id);
  await until(
    'the key works everywhere',
    async () => {
      const all = await this.statuses();
      return all.every(s => s.revision >= issued.revision && s.keysFresh);
    },
    SETTLE_MS,
  );
});

When(
  'daemon {string} is killed and started again',
  async function (this: World, id: string) {
    await this.fleet.daemon(id).process.end('SIGKILL');
    await this.fleet.restartDaemon(id);
  },
);
