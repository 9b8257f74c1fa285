/** Steps that kill, pause, isolate and restart daemons and check membership. */
import {After, Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger} from '../../src/log/logger.js';
import type {Links} from '../../src/member/links.js';
import {SwimMembership} from '../../src/member/membership.js';
import type {MemberRecord, MemberUpdate} from '../../src/member/messages.js';
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

/** One member whose calls are recorded instead of sent. */
interface SoleMember {
  readonly membership: SwimMembership;
  readonly handlers: Map<string, (body: never) => unknown>;
  readonly pings: (readonly MemberUpdate[])[];
  reply?: readonly MemberUpdate[];
}

const soleMembers = new WeakMap<World, SoleMember>();
const SUSPECTED = 'suspect';

function recordOf(id: string): MemberRecord {
  return {
    id,
    region: 'r',
    failureDomain: 'd',
    peersAddress: `127.0.0.1:${id.charCodeAt(0)}`,
    administrationAddress: '127.0.0.1:1',
    incarnation: 1,
    version: 1,
    state: 'alive',
    slots: {},
  };
}

function pingFrom(member: SoleMember, id: string): readonly MemberUpdate[] {
  const handle = member.handlers.get('member.ping') as (body: unknown) => {
    readonly updates: readonly MemberUpdate[];
  };
  return handle({from: recordOf(id), updates: []}).updates;
}

function isSuspicionOf(id: string): (update: MemberUpdate) => boolean {
  return update => update.status === SUSPECTED && update.id === id;
}

Given(
  'a member {string} whose gossip about the suspected {string} has ended',
  function (this: World, id: string, suspected: string) {
    const handlers: SoleMember['handlers'] = new Map();
    const pings: (readonly MemberUpdate[])[] = [];
    const links = {
      handle: (kind: string, handler: (body: never) => unknown) =>
        handlers.set(kind, handler),
      call: (_: string, kind: string, body: unknown) => {
        const {updates} = body as {readonly updates: readonly MemberUpdate[]};
        if (kind === 'member.ping') pings.push(updates);
        return Promise.reject(new Error('not connected'));
      },
    } as unknown as Links;
    const log = createLogger({level: 'silent', format: 'text'});
    const membership = new SwimMembership({
      self: recordOf(id),
      seeds: [],
      links,
      log: log.for('member'),
    });
    const member: SoleMember = {membership, handlers, pings};
    soleMembers.set(this, member);
    pingFrom(member, suspected);
    const claim = {
      status: SUSPECTED,
      id: suspected,
      incarnation: 1,
      version: 1,
    };
    handlers.get('member.news')?.({updates: [claim]} as never);
    // Others get the updates until their number of sends is used up.
    while (pingFrom(member, 'c').length > 0);
  },
);

When('{string} pings it', function (this: World, from: string) {
  const member = soleMembers.get(this);
  assert.ok(member);
  member.reply = pingFrom(member, from);
});

Then(
  'the reply says that {string} is suspected',
  function (this: World, id: string) {
    const reply = soleMembers.get(this)?.reply ?? [];
    assert.ok(reply.some(isSuspicionOf(id)), JSON.stringify(reply));
  },
);

Then(
  'its pings to {string} say so too',
  async function (this: World, id: string) {
    const member = soleMembers.get(this);
    assert.ok(member);
    member.membership.start();
    const hasClaim = () =>
      member.pings.some(updates => updates.some(isSuspicionOf(id)));
    await until('the claim is sent', hasClaim, 10_000);
  },
);

After(function (this: World) {
  soleMembers.get(this)?.membership.stop();
});
