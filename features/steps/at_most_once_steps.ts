/** Steps that send requests which must not run twice, and count the runs. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {until} from '../support/fleet.js';
import {runsOfAll} from '../support/runs.js';
import type {CallerAnswer, World} from '../support/world.js';

const SETTLE_MS = 20_000;
const KEYS_PER_DAEMON = 8;
/** Longer than the deadline of the routes in these features. */
const FROZEN_MS = 3500;

/** Posts once; undefined if the connection was lost. */
async function post(
  world: World,
  customer: string,
  path: string,
  daemon: string,
  extraHeaders: Record<string, string> = {},
): Promise<CallerAnswer | undefined> {
  const headers = {
    'x-api-key': world.keys.get(customer) ?? '',
    'x-request-id': randomUUID(),
    ...extraHeaders,
  };
  return world
    .request(daemon, path, {method: 'POST', body: 'amount=1', headers})
    .catch(() => undefined);
}

function storeAnswers(
  world: World,
  answers: readonly (CallerAnswer | undefined)[],
): void {
  world.answers = answers.filter(answer => answer !== undefined);
}

Given(
  'a fleet of {int} daemons that remember idempotency keys for {int} ms',
  async function (this: World, count: number, retentionMs: number) {
    await this.fleet.startStore();
    const limits = {idempotencyRetentionMs: retentionMs};
    for (const index of Array.from({length: count}).keys()) {
      await this.fleet.startDaemon({
        id: `d${index + 1}`,
        failureDomain: `domain-${index + 1}`,
        settings: {limits},
      });
    }
  },
);

Given(
  'the rate of {string} is known everywhere',
  async function (this: World, customer: string) {
    // On a route without instances a request takes a token but runs nothing.
    const headers = {'x-api-key': this.keys.get(customer) ?? ''};
    const isKnown = async (daemon: string) => {
      const answer = await this.request(daemon, '/nobody', {headers});
      return answer.text.includes('no-instance');
    };
    const daemons = [...this.fleet.daemons.keys()];
    await until(
      'the rate is known on every daemon',
      async () => (await Promise.all(daemons.map(isKnown))).every(Boolean),
      SETTLE_MS,
    );
  },
);

Given(
  'daemon {string} runs the mutant {string}',
  async function (this: World, id: string, mutant: string) {
    const failureDomain = 'domain-1';
    await this.fleet.startDaemon({id, failureDomain, mutant});
    await until(
      `${id} has the configuration and the slots of the fleet`,
      async () => {
        const reference = await this.fleet.status('d1');
        const status = await this.fleet.status(id);
        const countGates = (members: typeof reference.members) =>
          members.filter(({slots}) => Object.keys(slots).length > 0).length;
        return (
          status.revision === reference.revision &&
          countGates(status.members) === countGates(reference.members)
        );
      },
      SETTLE_MS,
    );
  },
);

Given('the instances drop their answers', async function (this: World) {
  const all = [...this.fleet.instances.values()];
  await Promise.all(
    all.map(({address}) => this.fleet.setFaults(address, {dropAnswer: true})),
  );
});

Given(
  'the instances send answers that are {string}',
  async function (this: World, rawAnswer: string) {
    const all = [...this.fleet.instances.values()];
    await Promise.all(
      all.map(({address}) => this.fleet.setFaults(address, {rawAnswer})),
    );
  },
);

Given(
  'the instances repeat a refusal on connections that are kept',
  async function (this: World) {
    const all = [...this.fleet.instances.values()];
    const faults = {repeatsRefusals: true};
    await Promise.all(
      all.map(({address}) => this.fleet.setFaults(address, faults)),
    );
  },
);

Given(
  'requests of {string} with idempotency keys are served',
  async function (this: World, customer: string) {
    const isServed = async (daemon: string) => {
      const headers = {'idempotency-key': randomUUID()};
      const answer = await post(this, customer, '/sweep/x', daemon, headers);
      return answer?.status === 200;
    };
    // Enough keys that each pair of daemons holds at least one.
    const daemons = [...this.fleet.daemons.keys()].flatMap(id =>
      Array.from<string>({length: KEYS_PER_DAEMON}).fill(id),
    );
    await until(
      'every daemon serves requests with idempotency keys',
      async () => {
        const results = await Promise.all(daemons.map(isServed));
        return results.every(result => result);
      },
      SETTLE_MS,
    );
  },
);

When(
  '{string} posts to {string} at daemon {string}',
  async function (this: World, customer: string, path: string, daemon: string) {
    storeAnswers(this, [await post(this, customer, path, daemon)]);
  },
);

When(
  '{string} posts {int} times to {string} at daemons {string}, one after the other',
  async function (
    this: World,
    customer: string,
    count: number,
    path: string,
    list: string,
  ) {
    const daemons = list.split(',');
    const answers: (CallerAnswer | undefined)[] = [];
    for (const index of Array.from({length: count}).keys()) {
      const daemon = daemons[index % daemons.length] ?? '';
      answers.push(await post(this, customer, path, daemon));
    }
    storeAnswers(this, answers);
  },
);

When(
  '{string} posts {int} times to {string} at daemons {string} while daemon {string} is killed',
  async function (
    this: World,
    customer: string,
    count: number,
    path: string,
    list: string,
    victim: string,
  ) {
    const daemons = list.split(',');
    const sent = Array.from({length: count}, async (_, index) => {
      await sleep(index * 15);
      const daemon = daemons[index % daemons.length] ?? '';
      return post(this, customer, path, daemon, {'x-work-ms': '40'});
    });
    const hasThirdRun = async () => (await runsOfAll(this)).length >= count / 3;
    await until('a third of the requests has run', hasThirdRun, SETTLE_MS);
    await this.fleet.daemon(victim).process.end('SIGKILL');
    storeAnswers(this, await Promise.all(sent));
  },
);

When(
  '{string} posts {int} times to {string} at daemons {string} while {word} {string} is frozen',
  async function (
    this: World,
    customer: string,
    count: number,
    path: string,
    list: string,
    kind: 'instance' | 'daemon',
    frozen: string,
  ) {
    const {process: proc} = this.fleet[kind](frozen);
    const daemons = list.split(',');
    proc.signal('SIGSTOP');
    const sent = Array.from({length: count}, (_, index) =>
      post(this, customer, path, daemons[index % daemons.length] ?? ''),
    );
    await sleep(FROZEN_MS);
    proc.signal('SIGCONT');
    storeAnswers(this, await Promise.all(sent));
    // Requests in the buffers of the resumed process run now or never.
    await sleep(500);
  },
);

When(
  '{string} posts with the idempotency key {string} to daemon {string}',
  async function (this: World, customer: string, key: string, daemon: string) {
    const headers = {'idempotency-key': key};
    const path = `/sweep/${key}`;
    storeAnswers(this, [await post(this, customer, path, daemon, headers)]);
  },
);

When(
  '{string} posts with the idempotency key {string} to daemon {string} until it is served',
  async function (this: World, customer: string, key: string, daemon: string) {
    const headers = {'idempotency-key': key};
    const path = `/sweep/${key}`;
    await until(
      'the request is served after refusals as not run',
      async () => {
        const answer = await post(this, customer, path, daemon, headers);
        return answer?.status === 200;
      },
      SETTLE_MS,
    );
  },
);

When(
  '{string} posts with the idempotency key {string} to all daemons {int} time(s) at once',
  async function (this: World, customer: string, key: string, times: number) {
    const daemons = [...this.fleet.daemons.keys()];
    const all = Array.from({length: times}).flatMap(() => daemons);
    const headers = {'idempotency-key': key};
    const sent = all.map(d =>
      post(this, customer, `/sweep/${key}`, d, headers),
    );
    storeAnswers(this, await Promise.all(sent));
  },
);

When('all daemons are killed and started again', async function (this: World) {
  const ids = [...this.fleet.daemons.keys()];
  await Promise.all(ids.map(id => this.fleet.daemon(id).process.end()));
  await Promise.all(ids.map(id => this.fleet.restartDaemon(id)));
  await until(
    'every daemon has a configuration again',
    async () => {
      const all = await Promise.all(ids.map(id => this.fleet.status(id)));
      return all.every(({revision}) => revision > 0);
    },
    SETTLE_MS,
  );
});

Then('the answer is {int}', function (this: World, status: number) {
  const answer = this.answers.at(-1);
  assert.equal(answer?.status, status, answer?.text);
});

Then(
  '{int} requests ran, none of them twice',
  async function (this: World, count: number) {
    const runs = await runsOfAll(this);
    assert.equal(runs.length, count);
    assert.equal(new Set(runs.map(run => run.id)).size, count);
  },
);

Then(
  'as many requests ran as were answered with {int}',
  async function (this: World, status: number) {
    const ran = await runsOfAll(this);
    const answered = this.answers.filter(answer => answer.status === status);
    assert.equal(ran.length, answered.length, JSON.stringify(this.answers));
  },
);

Then('no answer is complete', function (this: World) {
  const complete = this.answers.filter(({status}) => status < 300);
  assert.deepEqual(complete, []);
});

Then('a request ran twice', async function (this: World) {
  const runs = await runsOfAll(this);
  assert.ok(new Set(runs.map(run => run.id)).size < runs.length);
});

Then(
  'no request ran twice and none answered with ran {string} has run',
  async function (this: World, ran: string) {
    const ids = (await runsOfAll(this)).map(run => run.id);
    assert.equal(new Set(ids).size, ids.length, 'a request ran twice');
    const reportedIds = this.answers
      .filter(answer => answer.headers.get('content-type')?.includes('problem'))
      .map(
        answer => JSON.parse(answer.text) as {ran: string; requestId: string},
      )
      .filter(problem => problem.ran === ran)
      .map(problem => problem.requestId);
    assert.deepEqual(
      reportedIds.filter(id => ids.includes(id)),
      [],
    );
  },
);

Then(
  'every request was answered, and at least {int} of them with {int}',
  function (this: World, minCount: number, status: number) {
    const counts = this.answers.reduce<Record<string, number>>(
      (sums, answer) => ({
        ...sums,
        [answer.status]: (sums[answer.status] ?? 0) + 1,
      }),
      {},
    );
    const texts = this.answers.map(answer => answer.text).join('\n');
    const detail = `${JSON.stringify(counts)} ${texts}`;
    assert.ok((counts[status] ?? 0) >= minCount, detail);
  },
);

Then(
  'exactly {int} request(s) with the path {string} ran',
  async function (this: World, count: number, path: string) {
    const runs = (await runsOfAll(this)).filter(run => run.path === path);
    assert.equal(runs.length, count);
  },
);

Then(
  'at most {int} request(s) with the path {string} ran',
  async function (this: World, maxCount: number, path: string) {
    const runs = (await runsOfAll(this)).filter(run => run.path === path);
    assert.ok(runs.length <= maxCount, JSON.stringify(runs));
  },
);
