/** Steps for cold instances as the platform describes them. */
import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {decodeConfiguration} from '../../platform/configuration_document.js';
import {reasonOf} from '../../src/errors/failure.js';
import {until} from '../support/fleet.js';
import {documentOf} from '../support/platform_documents.js';
import {stateOf} from './platform_adapter_steps.js';
import {configureProcess, daemonOf} from './platform_process_steps.js';

const HEALTH_PATH = '"HealthPath":"/health"';

function documentWith(version: string, fields: string): string {
  return documentOf(version).replace(HEALTH_PATH, `${HEALTH_PATH},${fields}`);
}

When(/^a document whose service has (\S+) is decoded$/, function (fields) {
  const state = stateOf(this);
  try {
    state.decoded = decodeConfiguration(documentWith('1', String(fields)));
  } catch (err) {
    state.rejectionReason = reasonOf(err);
  }
});

Then(
  'its cold limits are {int} ms and {float} per second',
  function (warmupMs: number, coldPerS: number) {
    const [service] = stateOf(this).decoded?.services ?? [];
    assert.deepEqual(
      [service?.warmupMs, service?.coldPerS],
      [warmupMs, coldPerS],
    );
  },
);

Given(
  /^the operators write a version 2 with (\S+)$/,
  function (fields: string) {
    stateOf(this).store.writeConfiguration(documentWith('2', fields));
  },
);

Given(
  "the instance's health path names a remaining warm-up of {string}",
  function (warmupRemaining: string) {
    if (warmupRemaining !== '') configureProcess(this, {warmupRemaining});
  },
);

Then(
  'the process exports a cold limit of {string} within {int} ms',
  async function (limit: string, withinMs: number) {
    const {listens} = daemonOf(this);
    const name = 'chicorycourse_backend_cold_limit_per_second';
    const pattern = new RegExp(`^${name} (\\S+)$`, 'm');
    let exported = '';
    const isExpected = async () => {
      const res = await fetch(`http://${listens.metrics}/metrics`);
      exported = pattern.exec(await res.text())?.[1] ?? 'none';
      return exported === limit;
    };
    await until(`a cold limit of ${limit}`, isExpected, withinMs);
  },
);
