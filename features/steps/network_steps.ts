/** Steps that start a fleet behind links and cut or heal them. */
import {Given, When} from '@cucumber/cucumber';
import type {World} from '../support/world.js';

Given(
  'a store and {int} daemons in {int} failure domains behind links',
  async function (this: World, count: number, domains: number) {
    await this.fleet.startStore();
    const ids = Array.from({length: count}, (_, index) => `d${index + 1}`);
    await this.fleet.startNetwork(ids);
    await Promise.all(
      ids.map((id, index) =>
        this.fleet.startDaemon({
          id,
          failureDomain: `domain-${(index % domains) + 1}`,
        }),
      ),
    );
  },
);

When(
  'what {string} sends to {string} is lost',
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
