/** Steps for what instances say of themselves in their responses. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {World} from '../support/world.js';
import {send, stateOf, type Answer} from './mesh_path_steps.js';

/** A response and the time from the request to it. */
interface TimedAnswer {
  readonly answer: Answer;
  readonly tookMs: number;
}

/** The responses of the latest load of each scenario. */
const answersByWorld = new WeakMap<World, readonly TimedAnswer[]>();
/** The rule's window, and the time before it applies to a new limit. */
const WINDOW_MS = 4000;

Given(
  'the instance of VM {int} names a limit of {string} per second',
  function (this: World, index: number, limit: string) {
    const {notices} = stateOf(this).fleet.vm(index).backend;
    notices.set(NAMES.rateLimit, limit);
  },
);

Given(
  'the instance of VM {int} says that it leaves',
  function (this: World, index: number) {
    stateOf(this).fleet.vm(index).backend.notices.set(NAMES.leaving, '1');
  },
);

Then(
  'the log has the limit {float} of the instance of VM {int}',
  function (this: World, limitPerS: number, index: number) {
    const {fleet} = stateOf(this);
    const logged = fleet.lines.filter(({event}) => event === 'backend-limit');
    assert.deepEqual(
      logged.map(line => [line['instance'], line['limitPerS']]),
      [[`instance-${fleet.vm(index).id}`, limitPerS]],
    );
  },
);

Then(
  'the log has an invalid limit {string}',
  function (this: World, limit: string) {
    const {lines} = stateOf(this).fleet;
    const logged = lines.find(({event}) => event === 'backend-limit-invalid');
    assert.equal(logged?.['limit'], limit);
  },
);

Then(
  'the log tells that the instance of VM {int} leaves',
  function (this: World, index: number) {
    const {fleet} = stateOf(this);
    const logged = fleet.lines.filter(({event}) => event === 'backend-leaving');
    const instances = logged.map(line => line['instance']);
    assert.deepEqual(instances, [`instance-${fleet.vm(index).id}`]);
  },
);

async function exportedLimit(world: World, index: number): Promise<string> {
  const {metrics} = stateOf(world).fleet.vm(index).daemon.boundAddresses;
  const res = await fetch(`http://${metrics}/metrics`);
  const text = await res.text();
  const [, value = ''] =
    /^chicorycourse_backend_limit_per_second (\S+)$/m.exec(text) ?? [];
  return value;
}

Then(
  'VM {int} exports a limit of {string} per second',
  async function (this: World, index: number, limit: string) {
    assert.equal(await exportedLimit(this, index), limit);
  },
);

Then('VM {int} exports no limit', async function (this: World, index: number) {
  assert.equal(await exportedLimit(this, index), '');
});

Given(
  'the instance of VM {int} names no limit',
  function (this: World, index: number) {
    stateOf(this).fleet.vm(index).backend.notices.delete(NAMES.rateLimit);
  },
);

When(
  /^callers (?:send|have sent) (\d+) requests per second to "(.+)" for (\d+) s, spread over all VMs$/,
  {timeout: 30_000},
  async function (this: World, perS: string, path: string, forS: string) {
    answersByWorld.set(
      this,
      await sendSteadily(this, path, Number(perS), Number(forS)),
    );
  },
);

/** Sends requests at a constant rate, whenever their responses come. */
async function sendSteadily(
  world: World,
  path: string,
  perS: number,
  forS: number,
): Promise<readonly TimedAnswer[]> {
  const {fleet} = stateOf(world);
  const startedAtMs = performance.now();
  const pending: Promise<TimedAnswer>[] = [];
  for (let index = 0; index < perS * forS; index += 1) {
    const dueAtMs = startedAtMs + (index / perS) * 1000;
    await sleep(Math.max(0, dueAtMs - performance.now()));
    const vm = fleet.vm(index % fleet.vms.length);
    pending.push(sendTimed(() => send(vm, {path, key: 'key-big'})));
  }
  return Promise.all(pending);
}

async function sendTimed(
  sendOne: () => Promise<Answer | undefined>,
): Promise<TimedAnswer> {
  const sentAtMs = performance.now();
  const answer = await sendOne();
  assert.ok(answer);
  return {answer, tookMs: performance.now() - sentAtMs};
}

Then(
  'from {int} s after it first named it, VM {int} got at most {int} requests in any 4 s',
  function (this: World, afterS: number, index: number, most: number) {
    const {arrivalsAtMs} = stateOf(this).fleet.vm(index).backend;
    const [first = 0] = arrivalsAtMs;
    const counted = arrivalsAtMs.filter(at => at >= first + afterS * 1000);
    const worst = Math.max(
      0,
      ...counted.map(
        from =>
          counted.filter(at => at >= from && at < from + WINDOW_MS).length,
      ),
    );
    assert.ok(worst <= most, `${worst} in 4 s, ${arrivalsAtMs.length} in all`);
  },
);

function servedOf(world: World): readonly TimedAnswer[] {
  const answers = answersByWorld.get(world) ?? [];
  return answers.filter(({answer}) => answer.status === 200);
}

Then(
  'at least {int} in 100 requests were served',
  function (this: World, percent: number) {
    const all = answersByWorld.get(this)?.length ?? 0;
    const served = servedOf(this).length;
    assert.ok(served >= (percent / 100) * all, `${served} of ${all}`);
  },
);

Then(
  'at least {int} requests were served',
  function (this: World, least: number) {
    const served = servedOf(this).length;
    assert.ok(served >= least, `${served}`);
  },
);

Then(
  'the others were refused within {int} ms as not run, with a time to retry',
  function (this: World, withinMs: number) {
    const answers = answersByWorld.get(this) ?? [];
    const others = answers.filter(({answer}) => answer.status !== 200);
    const faults = others.filter(({answer, tookMs}) => {
      const retryAfterS = Number(answer.headers['retry-after']);
      const isTold = answer.status === 503 && retryAfterS > 0;
      return !isTold || tookMs > withinMs;
    });
    assert.deepEqual(faults, []);
  },
);

Then('every request was served or refused as not run', function (this: World) {
  const answers = answersByWorld.get(this) ?? [];
  const statuses = new Set(answers.map(({answer}) => answer.status));
  assert.deepEqual([...statuses].toSorted(), [200, 503]);
});

Then(
  'VM {int} got at least {int} requests in the last {int} s',
  function (this: World, index: number, least: number, lastS: number) {
    const {arrivalsAtMs} = stateOf(this).fleet.vm(index).backend;
    const fromMs = performance.now() - lastS * 1000;
    const late = arrivalsAtMs.filter(at => at >= fromMs).length;
    assert.ok(late >= least, `${late} in the last ${lastS} s`);
  },
);

Then(
  'VM {int} got no request later than {int} ms after its first response',
  function (this: World, index: number, afterMs: number) {
    const {arrivalsAtMs} = stateOf(this).fleet.vm(index).backend;
    const [first = 0] = arrivalsAtMs;
    const late = arrivalsAtMs.filter(at => at > first + afterMs);
    assert.equal(late.length, 0, `${late.length} of ${arrivalsAtMs.length}`);
  },
);

const INCARNATION_MS = {first: 1000, next: 2000} as const;

function sendHeartbeat(world: World, index: number, startedAtUnixMs: number) {
  const {id, daemon} = stateOf(world).fleet.vm(index);
  daemon.gate.applyHeartbeat({
    instance: `instance-${id}`,
    service: 'pay',
    state: 'ready',
    slots: 2,
    coldForMs: 0,
    startedAtUnixMs,
    sequence: 2,
  });
}

When(
  'a heartbeat of the same incarnation of VM {int} says that it is ready',
  function (this: World, index: number) {
    sendHeartbeat(this, index, INCARNATION_MS.first);
  },
);

When(
  'the instance of VM {int} starts again',
  function (this: World, index: number) {
    stateOf(this).fleet.vm(index).backend.notices.clear();
    sendHeartbeat(this, index, INCARNATION_MS.next);
  },
);

async function countArrivals(world: World, index: number, count: number) {
  const {arrivalsAtMs} = stateOf(world).fleet.vm(index).backend;
  const before = arrivalsAtMs.length;
  const perS = 30;
  await sendSteadily(world, '/repeatable/', perS, count / perS);
  return arrivalsAtMs.length - before;
}

Then(
  'VM {int} gets none of the next {int} requests',
  async function (this: World, index: number, count: number) {
    assert.equal(await countArrivals(this, index, count), 0);
  },
);

Then(
  'VM {int} gets some of the next {int} requests',
  async function (this: World, index: number, count: number) {
    assert.ok((await countArrivals(this, index, count)) > 0);
  },
);
