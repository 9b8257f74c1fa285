/** Steps on outlier detection and on the floor of a service. */
import {After, Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {until} from '../support/fleet.js';
import {HealthWatch, SteadyLoad} from '../support/health_watch.js';
import type {World} from '../support/world.js';

interface HealthWorld extends World {
  watch?: HealthWatch;
  load?: SteadyLoad;
  faultAtMs?: number;
  faultyIds?: Set<string>;
}

const SETTLE_MS = 20_000;
/** A new authority gives no permits until earlier ones have expired. */
const AUTHORITY_START_MS = 3500;

function watchOf(world: HealthWorld): HealthWatch {
  assert.ok(world.watch, 'no health watch was started');
  return world.watch;
}

async function startService(
  world: HealthWorld,
  {count, floor, mutant}: {count: number; floor: number; mutant?: string},
): Promise<void> {
  await world.fleet.startStore();
  const ids = Array.from({length: count}, (_, index) => `d${index + 1}`);
  await world.fleet.startNetwork(ids);
  await Promise.all(
    ids.map((id, index) => {
      const failureDomain = `domain-${(index % 3) + 1}`;
      return world.fleet.startDaemon({id, failureDomain, mutant});
    }),
  );
  const service = 'ledger-read';
  await Promise.all(
    ids.map((daemon, index) => {
      const id = `ledger-${index + 1}`;
      return world.fleet.startInstance({id, service, daemons: [daemon]});
    }),
  );
  await world.fleet.applySheet(
    'd1',
    [
      'kind;id;floor;path;service;access',
      `service;${service};${floor};;;`,
      `route;ledger;;/ledger;${service};open`,
    ].join('\r\n'),
  );
  await until('every daemon serves', () => areServing(world, ids), SETTLE_MS);
  await sleep(AUTHORITY_START_MS);
  world.watch = new HealthWatch(world.fleet);
  world.faultyIds = new Set();
}

async function areServing(
  world: World,
  ids: readonly string[],
): Promise<boolean> {
  const answers = await Promise.all(
    ids.map(id => world.request(id, '/ledger/balances')),
  );
  const statuses = await Promise.all(ids.map(id => world.fleet.status(id)));
  const generations = new Set(statuses.map(status => status.generation));
  return (
    answers.every(({status}) => status === 200) &&
    statuses.every(status => status.vouched) &&
    generations.size === 1
  );
}

Given(
  '{int} instances of a service with floor {int}, each behind its own daemon',
  async function (this: HealthWorld, count: number, floor: number) {
    await startService(this, {count, floor});
  },
);

Given(
  '{int} instances of a service with floor {int} behind daemons with the mutant {string}',
  async function (
    this: HealthWorld,
    count: number,
    floor: number,
    mutant: string,
  ) {
    await startService(this, {count, floor, mutant});
  },
);

Given(
  '{int} requests a second',
  async function (this: HealthWorld, rate: number) {
    this.load = new SteadyLoad(this, '/ledger/balances', rate);
    await sleep(2500);
  },
);

When(
  'instances {string} have the faults {string}',
  async function (this: HealthWorld, list: string, faults: string) {
    const ids = list.split(' ');
    this.faultAtMs = performance.now();
    ids.forEach(id => this.faultyIds?.add(id));
    await Promise.all(
      ids.map(id =>
        this.fleet.setFaults(
          this.fleet.instance(id).address,
          JSON.parse(faults),
        ),
      ),
    );
  },
);

When(
  'instances {string} alternate between the faults {string} and none every {int} ms, {int} times',
  async function (
    this: HealthWorld,
    list: string,
    faults: string,
    halfMs: number,
    times: number,
  ) {
    const ids = list.split(' ');
    ids.forEach(id => this.faultyIds?.add(id));
    const rounds = Array.from({length: times * 2}, (_, index) => index);
    for (const round of rounds) {
      const now: unknown = round % 2 === 0 ? JSON.parse(faults) : {};
      await Promise.all(
        ids.map(id =>
          this.fleet.setFaults(this.fleet.instance(id).address, now),
        ),
      );
      await sleep(halfMs);
    }
  },
);

When(
  'instance {string} receives signal {string}',
  function (this: HealthWorld, id: string, signal: NodeJS.Signals) {
    this.faultAtMs = performance.now();
    this.faultyIds?.add(id);
    this.fleet.instance(id).process.signal(signal);
  },
);

When(
  'the authority over the floor receives signal {string}',
  async function (this: HealthWorld, signal: NodeJS.Signals) {
    const {rankMembers} = await import('../../src/member/rendezvous.js');
    const members = [...this.fleet.daemons.values()];
    const best = rankMembers('ledger-read', members)[0];
    assert.ok(best);
    best.process.signal(signal);
  },
);

Then(
  'instance {string} drops below grade full within {int} ms',
  async function (this: HealthWorld, id: string, boundMs: number) {
    const watch = watchOf(this);
    const fromMs = this.faultAtMs ?? 0;
    const isNotFull = () => watch.firstNotFull(id, fromMs) !== undefined;
    await until(`${id} is below grade full`, isNotFull, boundMs + SETTLE_MS);
    const tookMs = (watch.firstNotFull(id, fromMs)?.atMs ?? 0) - fromMs;
    process.stdout.write(
      `\n${id} below grade full after ${Math.round(tookMs)} ms\n`,
    );
    assert.ok(tookMs <= boundMs, `${tookMs} ms`);
  },
);

Then(
  'instance {string} is ejected within {int} ms',
  async function (this: HealthWorld, id: string, boundMs: number) {
    const samples = () => watchOf(this).samples;
    const isEjected = () => samples().some(s => s.ejected.includes(id));
    await until(`${id} is ejected`, isEjected, boundMs);
  },
);

Then(
  'instance {string} is back at grade full within {int} ms',
  async function (this: HealthWorld, id: string, boundMs: number) {
    const last = () =>
      watchOf(this).changes.findLast(change => change.instance === id);
    await until(
      `${id} is at grade full`,
      () => last()?.grade === 'full',
      boundMs,
    );
  },
);

Then(
  'at most {int} instance(s) was/were ejected at any time',
  function (this: HealthWorld, bound: number) {
    const {samples} = watchOf(this);
    const maxEjected = Math.max(...samples.map(s => s.ejected.length));
    process.stdout.write(`\nat most ${maxEjected} ejected\n`);
    const logs = [...this.fleet.daemons.values()]
      .flatMap(daemon => daemon.process.errors)
      .filter(line => line.includes('health:'));
    assert.ok(maxEjected <= bound, logs.join('\n'));
  },
);

Then(
  'more than {int} instance(s) was/were ejected at some time, so the check would fail',
  async function (this: HealthWorld, bound: number) {
    const isFloorBroken = () =>
      watchOf(this).samples.some(s => s.ejected.length > bound);
    await until(
      'more instances are ejected than the floor allows',
      isFloorBroken,
      SETTLE_MS,
    );
  },
);

Then('no instance is currently ejected', function (this: HealthWorld) {
  assert.deepEqual(watchOf(this).samples.at(-1)?.ejected, []);
});

Then('no healthy instance was ejected', function (this: HealthWorld) {
  const wronglyEjected = watchOf(this)
    .samples.flatMap(sample => sample.ejected)
    .filter(id => !this.faultyIds?.has(id));
  assert.deepEqual([...new Set(wronglyEjected)], []);
});

Then(
  'instance {string} was ejected at most {int} times',
  function (this: HealthWorld, id: string, bound: number) {
    const times = watchOf(this).changes.filter(
      change => change.instance === id && change.grade === 'ejected',
    ).length;
    assert.ok(times <= bound, `${times} times`);
  },
);

Then(
  'at least {int} of 1000 requests were answered 200',
  async function (this: HealthWorld, bound: number) {
    await this.load?.stop();
    const counts = [...(this.load?.statuses.entries() ?? [])];
    const all = counts.reduce((sum, [, count]) => sum + count, 0);
    const served = this.load?.statuses.get(200) ?? 0;
    process.stdout.write(`\n${JSON.stringify(counts)}\n`);
    const others = this.load?.failures.join('; ');
    assert.ok((served / all) * 1000 >= bound, `${served} of ${all}: ${others}`);
  },
);

After(async function (this: HealthWorld) {
  this.watch?.stop();
  await this.load?.stop();
});

When(
  'the probes of instances {string} are answered with {int}',
  async function (this: HealthWorld, list: string, probeStatus: number) {
    const instances = list.split(' ').map(id => this.fleet.instance(id));
    await Promise.all(
      instances.map(({address}) =>
        this.fleet.setFaults(address, {probeStatus}),
      ),
    );
  },
);

When(
  'all messages from {string} to other daemons are lost',
  async function (this: HealthWorld, from: string) {
    const others = [...this.fleet.daemons.keys()].filter(id => id !== from);
    await Promise.all(others.map(to => this.fleet.network.cutOneWay(from, to)));
  },
);
