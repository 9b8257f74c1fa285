/** Steps that start and end an outage of the store. */
import {Given} from '@cucumber/cucumber';
import type {World} from '../support/world.js';

Given('the store is away', async function (this: World) {
  await this.fleet.setFaults(this.fleet.storeAddress, {outage: true});
});

Given(/^the store (?:works again|is back)$/, async function (this: World) {
  await this.fleet.setFaults(this.fleet.storeAddress, {});
});
