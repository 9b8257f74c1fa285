/** Steps that send callers' requests and check the answers. */
import {Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {runsAt} from '../support/runs.js';
import type {CallerAnswer, World} from '../support/world.js';

interface Problem {
  readonly ran: string;
  readonly type: string;
}

function lastAnswer(world: World): CallerAnswer {
  const answer = world.answers.at(-1);
  assert.ok(answer, 'no request was sent');
  return answer;
}

function keyHeader(world: World, customer: string): Record<string, string> {
  return {'x-api-key': world.keys.get(customer) ?? ''};
}

When(
  '{string} requests {string} from daemon {string}',
  async function (this: World, customer: string, path: string, daemon: string) {
    const headers = keyHeader(this, customer);
    this.answers = [await this.request(daemon, path, {headers})];
  },
);

When(
  'a caller without a key requests {string} from daemon {string}',
  async function (this: World, path: string, daemon: string) {
    this.answers = [await this.request(daemon, path)];
  },
);

When(
  'a caller with key {string} requests {string} from daemon {string}',
  async function (this: World, key: string, path: string, daemon: string) {
    const headers = {'x-api-key': key};
    this.answers = [await this.request(daemon, path, {headers})];
  },
);

When(
  '{string} requests {string} from daemon {string} {int} times at once',
  async function (
    this: World,
    customer: string,
    path: string,
    daemon: string,
    times: number,
  ) {
    const headers = keyHeader(this, customer);
    this.answers = await Promise.all(
      Array.from({length: times}, () => this.request(daemon, path, {headers})),
    );
  },
);

Then(
  'the answer is {int} from instance {string}',
  function (this: World, status: number, instance: string) {
    const answer = lastAnswer(this);
    assert.equal(answer.status, status, answer.text);
    const body = JSON.parse(answer.text) as {instance: string};
    assert.equal(body.instance, instance);
  },
);

Then(
  'the answer is {int} with ran {string}',
  function (this: World, status: number, ran: string) {
    const answer = lastAnswer(this);
    assert.equal(answer.status, status, answer.text);
    assert.equal((JSON.parse(answer.text) as Problem).ran, ran);
  },
);

Then(
  'some answers are {int} with ran {string} and a Retry-After header',
  function (this: World, status: number, ran: string) {
    const refused = this.answers.filter(answer => answer.status === status);
    assert.ok(refused.length > 0, 'no request was refused with that status');
    refused.forEach(answer => {
      assert.equal((JSON.parse(answer.text) as Problem).ran, ran);
      assert.ok(Number(answer.headers.get('retry-after')) >= 1);
    });
  },
);

Then(
  'instance {string} ran {int} requests',
  async function (this: World, instance: string, count: number) {
    assert.equal((await runsAt(this.fleet.instance(instance))).length, count);
  },
);

Then(
  'instance {string} ran as many requests of {string} as were answered {int}',
  async function (
    this: World,
    instance: string,
    customer: string,
    status: number,
  ) {
    const served = this.answers.filter(answer => answer.status === status);
    const runs = await runsAt(this.fleet.instance(instance));
    const own = runs.filter(run => run.customer === customer);
    assert.equal(own.length, served.length);
  },
);
