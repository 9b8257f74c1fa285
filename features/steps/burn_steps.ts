/** Steps that send requests to a fleet and check its report on burn. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import type {BurnReport, ServiceBurn} from '../../src/report/burn.js';
import type {BurnDocument} from '../../src/report/collect.js';
import {READER_TOKEN, until} from '../support/fleet.js';
import type {World} from '../support/world.js';

const DAEMONS = ['d1', 'd2', 'd3'] as const;
const SETTLE_MS = 15_000;
const SHEET = [
  'kind;id;name;ratePerSecond;burst;floor;path;service',
  'customer;can-tho;Công ty Cần Thơ;600;300;;;',
  'customer;da-lat;Công ty Đà Lạt;3;3;;;',
  'service;ledger-read;;;;1;;',
  'route;ledger;;;;;/ledger;ledger-read',
].join('\r\n');

async function startFleet(world: World, mutant?: string): Promise<void> {
  const {fleet, keys} = world;
  await fleet.startStore();
  for (const id of DAEMONS) {
    await fleet.startDaemon({id, failureDomain: `domain-${id}`, mutant});
  }
  await fleet.startInstance({
    id: 'ledger-1',
    service: 'ledger-read',
    daemons: ['d1'],
  });
  await fleet.applySheet('d1', SHEET);
  for (const customer of ['can-tho', 'da-lat']) {
    keys.set(customer, await fleet.issueKey('d1', customer));
  }
  await until('all daemons serve', () => allServe(world), SETTLE_MS);
}

async function allServe(world: World): Promise<boolean> {
  const found = await Promise.all(
    DAEMONS.flatMap(id =>
      [...world.keys.values()].map(async key => {
        const headers = {'x-api-key': key};
        return (await world.request(id, '/none', {headers})).status;
      }),
    ),
  );
  const all = await Promise.all(DAEMONS.map(id => world.fleet.status(id)));
  const known = all.every(
    ({members}) =>
      members.length === DAEMONS.length &&
      members.some(member => (member.slots['ledger-read'] ?? 0) > 0),
  );
  return known && found.every(status => status === 404);
}

async function reportOf(world: World, args: readonly string[] = []) {
  const tokenFile = world.fleet.writeFile('reader.token', READER_TOKEN);
  const {administration} = world.fleet.daemon('d1').addresses;
  const result = await world.fleet.run([
    ...['report', 'burn', '--json', '--admin', administration],
    ...['--token-file', tokenFile, ...args],
  ]);
  assert.equal(result.code, 0, result.stderr);
  return JSON.parse(result.stdout) as BurnReport;
}

async function serviceOf(world: World): Promise<ServiceBurn> {
  const {services} = await reportOf(world);
  const found = services.find(s => s.objective.service === 'ledger-read');
  assert.ok(found, 'the service is not in the report');
  return found;
}

async function countOf(world: World, customer: string, verdict: string) {
  const {customers} = await serviceOf(world);
  const found = customers.find(entry => entry.customer === customer);
  return found?.counts[verdict] ?? 0;
}

Given('a fleet of three daemons that count requests', function (this: World) {
  return startFleet(this);
});

Given(
  'a fleet of three daemons that count requests, as the mutant {string}',
  function (this: World, mutant: string) {
    return startFleet(this, mutant);
  },
);

Given(
  'another daemon has received a mark of {string}',
  async function (this: World, id: string) {
    const others = DAEMONS.filter(daemon => daemon !== id);
    await until(
      `another daemon has received a mark of ${id}`,
      async () => {
        const marks = await Promise.all(
          others.map(async other => {
            const {administration} = this.fleet.daemon(other).addresses;
            const res = await fetch(`http://${administration}/v1/burn`, {
              headers: {authorization: `Bearer ${READER_TOKEN}`},
            });
            return ((await res.json()) as BurnDocument).marks;
          }),
        );
        return marks.flat().some(mark => mark.daemon === id);
      },
      SETTLE_MS,
    );
  },
);

When('all daemons serve requests', async function (this: World) {
  await until('all daemons serve', () => allServe(this), SETTLE_MS);
});

When(
  '{int} requests of {string} are served by daemon {string}',
  async function (this: World, count: number, customer: string, id: string) {
    const headers = {'x-api-key': this.keys.get(customer) ?? ''};
    let served = 0;
    await until(
      `${count} requests were served`,
      async () => {
        const {status} = await this.request(id, '/ledger/x', {headers});
        if (status === 200) served += 1;
        return served === count;
      },
      SETTLE_MS,
    );
  },
);

When(
  'instance {string} fails every request',
  async function (this: World, id: string) {
    const {address} = this.fleet.instance(id);
    await this.fleet.setFaults(address, {errorShare: 1});
  },
);

When(
  'daemon {string} is stopped as planned',
  async function (this: World, id: string) {
    assert.equal(await this.fleet.daemon(id).process.end('SIGTERM'), 0);
  },
);

Then(
  'the report counts {int} {string} requests of {string}',
  async function (this: World, count: number, verdict: string, id: string) {
    assert.equal(await countOf(this, id, verdict), count);
  },
);

When(
  '{string} requests from daemon {string} until {int} responses are {int}',
  async function (
    this: World,
    customer: string,
    id: string,
    count: number,
    status: number,
  ) {
    const headers = {'x-api-key': this.keys.get(customer) ?? ''};
    this.answers = [];
    await until(
      `${count} responses are ${status}`,
      async () => {
        const answer = await this.request(id, '/ledger/x', {headers});
        this.answers = [...this.answers, answer];
        return this.answers.filter(a => a.status === status).length === count;
      },
      SETTLE_MS,
    );
  },
);

/** Counts the responses to the last requests by the verdict they stand for. */
function verdictsOf({answers}: World) {
  const countOfStatus = (...statuses: readonly number[]) =>
    answers.filter(({status}) => statuses.includes(status)).length;
  return {
    good: countOfStatus(200),
    failed: countOfStatus(500),
    refused: countOfStatus(503, 504),
    overRate: countOfStatus(429),
  };
}

Then(
  'the report counts each response {int} as an {string} request of {string}',
  async function (this: World, status: number, verdict: string, id: string) {
    const answers = this.answers.filter(answer => answer.status === status);
    assert.ok(
      answers.length > 1,
      'expected more than one response with this status',
    );
    assert.equal(await countOf(this, id, verdict), answers.length);
  },
);

Then(
  'the budget is spent and the alert is {string}',
  async function (this: World, expected: string) {
    const {budgetLeft, alert} = await serviceOf(this);
    assert.ok(budgetLeft < 0);
    assert.equal(alert, expected);
  },
);

Then(
  'the report counts each response to {string}',
  async function (this: World, id: string) {
    for (const [verdict, count] of Object.entries(verdictsOf(this))) {
      assert.equal(await countOf(this, id, verdict), count, verdict);
    }
  },
);

Then(
  'the report lists the budget spent by {string}, the largest shares first',
  async function (this: World, id: string) {
    const {causes, burners} = await serviceOf(this);
    const {failed, refused} = verdictsOf(this);
    const own = burners.find(({name}) => name === id);
    assert.equal(own?.bad, failed + refused);
    assert.equal(causes.find(({name}) => name === 'failed')?.bad, failed);
    [causes, burners].forEach(shares => {
      const sorted = shares.toSorted((a, b) => b.share - a.share);
      assert.deepEqual(shares, sorted);
    });
  },
);

Then('nothing is missing from the report', async function (this: World) {
  const {gaps, unreached} = await reportOf(this);
  assert.deepEqual({gaps, unreached}, {gaps: [], unreached: []});
});

Then(
  'the report says that counts of {string} were lost in a crash',
  async function (this: World, id: string) {
    const {gaps} = await reportOf(this);
    assert.deepEqual(
      gaps.map(({daemon, reason}) => ({daemon, reason})),
      [{daemon: id, reason: 'lost in a crash'}],
    );
  },
);

Then('the HTML report is self-contained', async function (this: World) {
  const file = this.fleet.writeFile('burn.html', '');
  await reportOf(this, ['--html', file]);
  const page = readFileSync(file, 'utf8');
  assert.match(page, /<svg /);
  assert.match(page, /can-tho/);
  assert.doesNotMatch(page, /src=|href=|url\(|@import|https?:/);
});
