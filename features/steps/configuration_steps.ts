/** Steps for operators who change the configuration, and its effects. */
import {After, Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {OPERATOR_TOKEN, until, type CommandResult} from '../support/fleet.js';
import {firstAssignedPort} from '../support/ports.js';
import {RevisionLog} from '../support/revision_log.js';
import type {World} from '../support/world.js';

interface ChangeAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

interface ChangeWorld extends World {
  revisions?: RevisionLog;
  changes: readonly ChangeAnswer[];
  command: CommandResult;
}

const RATES = [61, 62, 63, 64, 65, 66, 67, 68];

async function callApi(
  world: World,
  daemon: string,
  path: string,
  init: RequestInit = {},
): Promise<ChangeAnswer & {readonly etag: string}> {
  const {administration} = world.fleet.daemon(daemon).addresses;
  const res = await fetch(`http://${administration}${path}`, {
    ...init,
    headers: {authorization: `Bearer ${OPERATOR_TOKEN}`, ...init.headers},
  });
  const body = (await res.json()) as ChangeAnswer['body'];
  return {status: res.status, body, etag: res.headers.get('etag') ?? ''};
}

After(function (this: ChangeWorld) {
  this.revisions?.stop();
});

Given(
  'every daemon has fresh keys at revision {int}',
  async function (this: World, revision: number) {
    await until(
      'fresh keys everywhere',
      async () =>
        (await this.statuses()).every(
          s => s.revision === revision && s.keysFresh,
        ),
      15_000,
    );
  },
);

Given('the revisions in force are watched', function (this: ChangeWorld) {
  this.revisions = new RevisionLog(this.fleet);
});

Given(
  'the store loses its next {int} answers to writes',
  async function (this: World, count: number) {
    await this.fleet.setFaults(this.fleet.storeAddress, {loseAnswers: count});
  },
);

Given(
  'the store becomes unavailable once it has stored the next head',
  async function (this: World) {
    const faults = {outageAfter: 'configuration/head'};
    await this.fleet.setFaults(this.fleet.storeAddress, faults);
  },
);

Given('the store serves stale reads from now on', async function (this: World) {
  await this.fleet.setFaults(this.fleet.storeAddress, {staleReads: true});
});

Given(
  'a daemon {string} of the mutant {string}',
  async function (this: World, id: string, mutant: string) {
    await this.fleet.startDaemon({id, failureDomain: 'domain-4', mutant});
    await until(
      `${id} has a configuration`,
      async () => (await this.fleet.status(id)).revision > 0,
      15_000,
    );
  },
);

Given(
  'daemon {string} and {string} are cut off from each other',
  async function (this: World, from: string, to: string) {
    await this.fleet.network.cut(from, to);
  },
);

Given(
  'daemon {string} and {string} are connected again',
  async function (this: World, from: string, to: string) {
    await this.fleet.network.heal(from, to);
  },
);

Given(
  'daemon {string} is cut off from everything',
  async function (this: World, id: string) {
    const others = [...this.fleet.daemons.keys()].filter(d => d !== id);
    await Promise.all(
      [...others, 'store'].map(to => this.fleet.network.cut(id, to)),
    );
  },
);

When(
  'a daemon {string} is started in failure domain {string}',
  async function (this: World, id: string, failureDomain: string) {
    await this.fleet.startDaemon({id, failureDomain});
  },
);

When(
  '{int} operators change the rate of {string} at once through all daemons',
  async function (this: ChangeWorld, count: number, customer: string) {
    const path = `/v1/customers/${customer}`;
    const {body, etag} = await callApi(this, 'd1', path);
    const ids = [...this.fleet.daemons.keys()];
    this.changes = await Promise.all(
      RATES.slice(0, count).map((ratePerSecond, index) =>
        callApi(this, ids[index % ids.length] ?? 'd1', path, {
          method: 'PUT',
          headers: {'if-match': etag},
          body: JSON.stringify({...body, ratePerSecond}),
        }),
      ),
    );
  },
);

Then(
  'exactly one of them is accepted and the others get status 412',
  function (this: ChangeWorld) {
    const accepted = this.changes.filter(({status}) => status < 300);
    const conflicted = this.changes.filter(({status}) => status === 412);
    assert.equal(accepted.length, 1, JSON.stringify(this.changes));
    assert.equal(conflicted.length, this.changes.length - 1);
  },
);

Then(
  "the winner's rate is in force everywhere within {int} s",
  async function (this: ChangeWorld, seconds: number) {
    const winner = this.changes.find(({status}) => status < 300);
    const won = winner?.body['record'] as {id: string; ratePerSecond: number};
    const ids = [...this.fleet.daemons.keys()];
    const holds = async (id: string) => {
      const {body} = await callApi(this, id, `/v1/customers/${won.id}`);
      return body['ratePerSecond'] === won.ratePerSecond;
    };
    await until(
      'the accepted rate on every daemon',
      async () => (await Promise.all(ids.map(holds))).every(Boolean),
      seconds * 1000,
    );
  },
);

When(
  'an operator sets {string} of {string} through daemon {string}',
  async function (
    this: ChangeWorld,
    field: string,
    customer: string,
    daemon: string,
  ) {
    const args = ['customer', 'set', customer, field];
    this.command = await this.fleet.operate(daemon, args);
    assert.equal(this.command.code, 0, this.command.stderr);
  },
);

Then(
  'the command reports that revision 2 is in force everywhere',
  function (this: ChangeWorld) {
    assert.match(this.command.stdout, /^revision 2: in force everywhere/);
  },
);

When(
  'an operator sends change {string} to {string} through daemon {string}',
  async function (
    this: ChangeWorld,
    changeId: string,
    customer: string,
    daemon: string,
  ) {
    const change = {name: 'Changed', ratePerSecond: 70, burst: 20};
    const answer = await callApi(this, daemon, `/v1/customers/${customer}`, {
      method: 'PUT',
      headers: {'if-match': '*', 'change-id': changeId},
      body: JSON.stringify(change),
    });
    this.changes = [answer];
  },
);

Then(
  'the answer is {int} and the change is reported as {string}',
  function (this: ChangeWorld, status: number, changed: string) {
    assert.equal(this.changes[0]?.status, status);
    assert.equal(this.changes[0]?.body['changed'], changed);
  },
);

Then(
  'the change is accepted as a repeated request',
  function (this: ChangeWorld) {
    const change = this.changes[0];
    assert.ok((change?.status ?? 500) < 300, JSON.stringify(change));
    assert.equal(change?.body['repeated'], true);
  },
);

Then('the audit lists the change once', async function (this: World) {
  const {body} = await callApi(this, 'd1', '/v1/audit');
  const entries = body['entries'] as readonly {readonly action: string}[];
  const puts = entries.filter(e => e.action === 'PUT customer/can-tho');
  assert.equal(puts.length, 1, JSON.stringify(entries));
});

Then(
  'revision {int} is in force everywhere within {int} s',
  async function (this: World, revision: number, seconds: number) {
    await until(
      `revision ${revision} everywhere`,
      async () => (await this.statuses()).every(s => s.revision === revision),
      seconds * 1000,
    );
  },
);

Then(
  'revision {int} is in force on daemon {string} within {int} s',
  async function (this: World, revision: number, id: string, seconds: number) {
    await until(
      `revision ${revision} on ${id}`,
      async () => (await this.fleet.status(id)).revision === revision,
      seconds * 1000,
    );
  },
);

Then('no revision in force decreased', function (this: ChangeWorld) {
  assert.deepEqual(this.revisions?.findFalls(), []);
});

Then(
  'the revision in force on daemon {string} decreases within {int} s',
  async function (this: ChangeWorld, id: string, seconds: number) {
    await until(
      `a lower revision on ${id}`,
      () => this.revisions?.findFalls().some(f => f.startsWith(id)) ?? false,
      seconds * 1000,
    );
  },
);

const daemonPorts = new WeakMap<World, readonly number[]>();

Given('the ports of daemon {string}', function (this: World, id: string) {
  const {addresses} = this.fleet.daemon(id);
  const ports = Object.values(addresses).map(address =>
    Number(String(address).split(':')[1]),
  );
  daemonPorts.set(this, ports);
});

Then(
  'the system assigns none of them to another socket',
  function (this: World) {
    const ports = daemonPorts.get(this) ?? [];
    assert.equal(ports.length, 4);
    assert.deepEqual(
      ports.filter(port => port >= firstAssignedPort()),
      [],
    );
  },
);
