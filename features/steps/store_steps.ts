/** Steps that take the store away and bring it back. */
import {Given} from '@cucumber/cucumber';
import type {World} from '../support/world.js';

Given('the store is away', async function (this: World) {
  await this.fleet.setFaults(this.fleet.storeAddress, {outage: true});
});

Given(/^the store (?:works again|is back)$/, async function (this: World) {
  await this.fleet.setFaults(this.fleet.storeAddress, {});
});
