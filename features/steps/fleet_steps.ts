/** Steps that start a fleet and configure it. */
import {Given} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {until} from '../support/fleet.js';
import type {World} from '../support/world.js';

const SETTLE_MS = 10_000;

/** Waits until every daemon knows of slots of a service. */
async function untilKnown(world: World, service: string): Promise<void> {
  await until(
    `all daemons know ${service}`,
    async () => {
      const all = await Promise.all(
        [...world.fleet.daemons.keys()].map(d => world.fleet.status(d)),
      );
      return all.every(status =>
        status.members.some(member => (member.slots[service] ?? 0) > 0),
      );
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
    await this.fleet.startInstance({id, service, daemons: [daemon]});
    await untilKnown(this, service);
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
    const plan = {id, service, slots, serviceMs, daemons};
    await this.fleet.startInstance(plan);
    await untilKnown(this, service);
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
