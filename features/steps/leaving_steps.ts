/** Steps that drain backend servers and stop daemons while requests run. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {until} from '../support/fleet.js';
import {PostingCallers} from '../support/posting_callers.js';
import {runsAt, runsOfAll} from '../support/runs.js';
import type {CallerAnswer, World} from '../support/world.js';

const SETTLE_MS = 20_000;
const SLOW_MS = 4000;
const CHUNKS = 20;
const RETRY_MS = 100;

const postings = new WeakMap<World, PostingCallers>();
const runCounts = new WeakMap<World, number>();
const slowStatuses = new WeakMap<World, Promise<readonly number[]>>();
const lateAnswers = new WeakMap<World, Promise<CallerAnswer>>();
const exits = new WeakMap<World, Promise<number | null>>();

async function countRuns(world: World, instance: string): Promise<number> {
  return (await runsAt(world.fleet.instance(instance))).length;
}

/**
 * The status of the answer, or 0 if the connection was cut. A request that is
 * refused as not run before the stop was not in flight and is sent again.
 */
async function statusOf(
  world: World,
  send: () => Promise<CallerAnswer>,
): Promise<number> {
  const answer = await send().catch(() => undefined);
  const isRefused = answer?.text.includes('"ran":"no"');
  if (!isRefused || exits.has(world)) return answer?.status ?? 0;
  await sleep(RETRY_MS);
  return statusOf(world, send);
}

function slowUpload(): ReadableStream<Uint8Array> {
  let left = CHUNKS;
  return new ReadableStream({
    async pull(controller) {
      await sleep(SLOW_MS / CHUNKS);
      left -= 1;
      controller.enqueue(new Uint8Array(10_000));
      if (left === 0) controller.close();
    },
  });
}

Given(
  'an instance {string} of {string} that announces to {string}',
  async function (this: World, id: string, service: string, list: string) {
    const daemons = list.split(',');
    await this.fleet.startInstance({id, service, daemons});
    await until(
      `${id} is announced`,
      async () => {
        const {self, members} = await this.fleet.status(daemons[0] ?? '');
        const ownRecord = members.find(member => member.id === self.id);
        return (ownRecord?.slots[service] ?? 0) > 0;
      },
      SETTLE_MS,
    );
  },
);

Given(
  '{string} keeps posting to {string}',
  function (this: World, customer: string, path: string) {
    postings.set(this, new PostingCallers(this, customer, path));
  },
);

When(
  'instance {string} starts to drain',
  async function (this: World, id: string) {
    const {address} = this.fleet.instance(id);
    await this.fleet.setFaults(address, {draining: true});
  },
);

When('{int} s have passed', async (seconds: number) => {
  await sleep(seconds * 1000);
});

When(
  'the runs of {string} are counted',
  async function (this: World, instance: string) {
    const count = await countRuns(this, instance);
    assert.ok(count > 0, 'the instance has run no request yet');
    runCounts.set(this, count);
  },
);

Then(
  '{string} has run no request since',
  async function (this: World, instance: string) {
    assert.equal(await countRuns(this, instance), runCounts.get(this));
  },
);

Then('every post was answered with 200', async function (this: World) {
  const results = (await postings.get(this)?.stop()) ?? {};
  process.stdout.write(`\nposts: ${JSON.stringify(results)}\n`);
  assert.deepEqual(Object.keys(results), ['200']);
});

When(
  '{string} starts slow requests and uploads at every daemon',
  async function (this: World, customer: string) {
    const key = this.keys.get(customer) ?? '';
    const daemons = [...this.fleet.daemons.keys()];
    const sent = daemons.flatMap(daemon => {
      const headers = {'x-api-key': key, 'x-work-ms': String(SLOW_MS)};
      const upload = () => {
        const body = slowUpload();
        const init = {method: 'POST', headers: {'x-api-key': key}, body};
        const duplex = 'half';
        const path = '/desk/upload';
        return this.request(daemon, path, {...init, duplex} as RequestInit);
      };
      return [
        statusOf(this, () => this.request(daemon, '/desk/slow', {headers})),
        statusOf(this, upload),
      ];
    });
    slowStatuses.set(this, Promise.all(sent));
    const areAllRunning = async () => {
      const runs = await runsOfAll(this);
      return runs.length >= daemons.length * 2;
    };
    await until('all slow requests and uploads run', areAllRunning, SETTLE_MS);
  },
);

When('daemon {string} gets SIGTERM', function (this: World, id: string) {
  exits.set(this, this.fleet.daemon(id).process.end('SIGTERM'));
});

Then(
  'every slow request and upload is answered with 200',
  async function (this: World) {
    const statuses = (await slowStatuses.get(this)) ?? [];
    assert.ok(statuses.length > 0);
    assert.deepEqual(
      statuses.filter(status => status !== 200),
      [],
    );
  },
);

Then('some slow request or upload is cut', async function (this: World) {
  const statuses = (await slowStatuses.get(this)) ?? [];
  assert.ok(statuses.includes(0), String(statuses));
});

Given(
  'daemon {string} has a stop timeout of {int} ms',
  async function (this: World, id: string, stopTimeoutMs: number) {
    const failureDomain = 'domain-1';
    const settings = {limits: {stopTimeoutMs}};
    await this.fleet.startDaemon({id, failureDomain, settings});
    const headers = {'x-api-key': [...this.keys.values()][0] ?? ''};
    await until(
      `${id} serves`,
      async () => {
        const answer = await this.request(id, '/desk/ready', {headers});
        return answer.status === 200;
      },
      SETTLE_MS,
    );
  },
);

function postLate(world: World, daemon: string, workMs?: number): void {
  const headers = {
    'x-api-key': [...world.keys.values()][0] ?? '',
    ...(workMs === undefined ? {} : {'x-work-ms': String(workMs)}),
  };
  const init = {method: 'POST', headers, body: 'x'};
  lateAnswers.set(world, world.request(daemon, '/desk/late', init));
}

async function lateRuns(world: World): Promise<number> {
  const runs = await runsOfAll(world);
  return runs.filter(({path}) => path === '/desk/late').length;
}

When(
  'a request that takes {int} ms is in flight at daemon {string}',
  async function (this: World, workMs: number, daemon: string) {
    postLate(this, daemon, workMs);
    const isRunning = async () => (await lateRuns(this)) === 1;
    await until('the request runs', isRunning, SETTLE_MS);
  },
);

When(
  '{int} ms later a request is sent to daemon {string}',
  async function (this: World, ms: number, daemon: string) {
    await sleep(ms);
    postLate(this, daemon);
  },
);

Then(
  'that request is answered with {int} and ran {string}',
  async function (this: World, status: number, ran: string) {
    const answer = await lateAnswers.get(this);
    assert.equal(answer?.status, status, answer?.text);
    const problem = JSON.parse(answer?.text ?? '') as {readonly ran: string};
    assert.equal(problem.ran, ran);
  },
);

Then('it ran at no instance', async function (this: World) {
  assert.equal(await lateRuns(this), 0);
});

Then(
  'daemon {string} has exited with code {int}',
  async function (this: World, _id: string, code: number) {
    assert.equal(await exits.get(this), code);
  },
);

When(
  'all daemons are restarted one after the other',
  async function (this: World) {
    for (const id of [...this.fleet.daemons.keys()]) {
      const code = await this.fleet.daemon(id).process.end('SIGTERM');
      assert.equal(code, 0, `${id} exited with code ${code}`);
      await this.fleet.restartDaemon(id);
      const headers = {'x-api-key': [...this.keys.values()][0] ?? ''};
      await until(
        `${id} serves again`,
        async () => {
          const answer = await this.request(id, '/desk/again', {headers});
          return answer.status === 200;
        },
        SETTLE_MS,
      );
      postings.get(this)?.addDaemon(id);
    }
  },
);
