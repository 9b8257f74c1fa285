/** Steps that let time pass. */
import {When} from '@cucumber/cucumber';
import {setTimeout as sleep} from 'node:timers/promises';

When('{int} s pass', async (seconds: number) => {
  await sleep(seconds * 1000);
});

When('{int} ms pass', async (milliseconds: number) => {
  await sleep(milliseconds);
});
