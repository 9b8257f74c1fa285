/** Steps that kill, pause, isolate and restart daemons and check membership. */
import {Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {until} from '../support/fleet.js';
import type {World} from '../support/world.js';

const SAMPLE_INTERVAL_MS = 200;

async function membersOf(world: World, daemon: string): Promise<string> {
  const {members} = await world.fleet.status(daemon);
  return members
    .map(member => member.id)
    .toSorted()
    .join(' ');
}

async function allList(
  world: World,
  daemons: readonly string[],
  expected: string,
): Promise<boolean> {
  const views = await Promise.all(daemons.map(id => membersOf(world, id)));
  return views.every(view => view === expected);
}

async function assertUnchanged(
  world: World,
  daemons: readonly string[],
  expected: string,
  seconds: number,
): Promise<void> {
  const endAtMs = performance.now() + seconds * 1000;
  while (performance.now() < endAtMs) {
    const views = await Promise.all(daemons.map(id => membersOf(world, id)));
    views.forEach(view => assert.equal(view, expected));
    await sleep(SAMPLE_INTERVAL_MS);
  }
}

When('daemon {string} is killed', async function (this: World, id: string) {
  await this.fleet.daemon(id).process.end('SIGKILL');
});

When(
  'daemon {string} is started again',
  async function (this: World, id: string) {
    await this.fleet.restartDaemon(id);
  },
);

When(
  'daemon {string} is paused for {int} s',
  async function (this: World, id: string, seconds: number) {
    this.fleet.daemon(id).process.signal('SIGSTOP');
    await sleep(seconds * 1000);
    this.fleet.daemon(id).process.signal('SIGCONT');
  },
);

When(
  '{string} is cut off from all other daemons',
  async function (this: World, id: string) {
    const others = [...this.fleet.daemons.keys()].filter(d => d !== id);
    const {network} = this.fleet;
    await Promise.all(others.map(other => network.cut(id, other)));
  },
);

When(
  '{string} is connected to all other daemons again',
  async function (this: World, id: string) {
    const others = [...this.fleet.daemons.keys()].filter(d => d !== id);
    const {network} = this.fleet;
    await Promise.all(others.map(other => network.heal(id, other)));
  },
);

const recordedGenerations = new WeakMap<World, number>();

When(
  'the generation of daemon {string} is recorded',
  async function (this: World, id: string) {
    const {generation} = await this.fleet.status(id);
    recordedGenerations.set(this, generation);
  },
);

When(
  'daemon {string} has a newer generation within {int} s',
  async function (this: World, id: string, seconds: number) {
    const before = recordedGenerations.get(this) ?? 0;
    await until(
      `daemon ${id} has a generation above ${before}`,
      async () => (await this.fleet.status(id)).generation > before,
      seconds * 1000,
    );
  },
);

Then(
  'every daemon lists exactly {string} within {int} s',
  async function (this: World, expected: string, seconds: number) {
    const daemons = [...this.fleet.daemons.keys()];
    await until(
      `every daemon lists ${expected}`,
      () => allList(this, daemons, expected),
      seconds * 1000,
    );
  },
);

Then(
  'daemons {string} list exactly {string} within {int} s',
  async function (
    this: World,
    daemons: string,
    expected: string,
    seconds: number,
  ) {
    await until(
      `${daemons} list ${expected}`,
      () => allList(this, daemons.split(' '), expected),
      seconds * 1000,
    );
  },
);

Then(
  'every daemon lists exactly {string} for {int} s',
  async function (this: World, expected: string, seconds: number) {
    const daemons = [...this.fleet.daemons.keys()];
    await assertUnchanged(this, daemons, expected, seconds);
  },
);

Then(
  'daemons {string} list exactly {string} for {int} s',
  async function (
    this: World,
    daemons: string,
    expected: string,
    seconds: number,
  ) {
    await assertUnchanged(this, daemons.split(' '), expected, seconds);
  },
);
