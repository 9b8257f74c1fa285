/** Steps that start a fleet connected by links, and cut or heal the links. */
import {Given, When} from '@cucumber/cucumber';
import type {World} from '../support/world.js';

/** Creates links for `linked` daemons and starts the first `count` of them. */
async function startBehindLinks(
  {fleet}: World,
  count: number,
  linked: number,
  domains: number,
): Promise<void> {
  await fleet.startStore();
  const ids = Array.from({length: linked}, (_, index) => `d${index + 1}`);
  await fleet.startNetwork(ids);
  await Promise.all(
    ids.slice(0, count).map((id, index) =>
      fleet.startDaemon({
        id,
        failureDomain: `domain-${(index % domains) + 1}`,
      }),
    ),
  );
}

Given(
  'a store and {int} daemons in {int} failure domains behind links',
  async function (this: World, count: number, domains: number) {
    await startBehindLinks(this, count, count, domains);
  },
);

Given(
  'a store and {int} of {int} daemons in {int} failure domains behind links',
  async function (this: World, count: number, linked: number, domains: number) {
    await startBehindLinks(this, count, linked, domains);
  },
);

When(
  'traffic from {string} to {string} is blocked',
  async function (this: World, from: string, to: string) {
    await this.fleet.network.cutOneWay(from, to);
  },
);

When(
  '{string} and {string} are cut off from each other',
  async function (this: World, from: string, to: string) {
    await this.fleet.network.cut(from, to);
  },
);

When(
  '{string} and {string} are connected again',
  async function (this: World, from: string, to: string) {
    await this.fleet.network.heal(from, to);
  },
);
