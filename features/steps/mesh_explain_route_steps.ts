/** Steps that ask mesh daemons where requests would go. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {promisify} from 'node:util';
import {Then, When} from '@cucumber/cucumber';
import {ask, textOf} from '../../src/commands/explain_route.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {QueryOfDeathGuard} from '../../src/mesh/router/query_of_death.js';
import type {
  RouteExplanation,
  TargetView,
} from '../../src/mesh/router/route_explanation.js';
import {until} from '../support/fleet.js';
import {SILENT_LOG} from '../support/silent_log.js';
import type {World} from '../support/world.js';
import {send, SERVICE, stateOf} from './mesh_path_steps.js';

const HOST = 'app.example';
const explanations = new WeakMap<World, RouteExplanation>();
const texts = new WeakMap<World, readonly string[]>();

function explanationOf(world: World): RouteExplanation {
  const explanation = explanations.get(world);
  assert.ok(explanation);
  return explanation;
}

function targetOf(world: World, service: string): TargetView {
  const {targets} = explanationOf(world);
  const target = targets.find(({service: name}) => name === service);
  assert.ok(target);
  return target;
}

function metricsAddress(world: World, index: number): string {
  return stateOf(world).fleet.vm(index).daemon.boundAddresses.metrics;
}

/** Runs a function with a file that contains a key. */
async function withKeyFile<Result>(
  key: string,
  use: (file: string) => Promise<Result>,
): Promise<Result> {
  const folder = mkdtempSync(path.join(tmpdir(), 'key-'));
  try {
    const file = path.join(folder, 'key');
    writeFileSync(file, `${key}\n`);
    return await use(file);
  } finally {
    rmSync(folder, {recursive: true});
  }
}

async function askAbout(
  world: World,
  index: number,
  question: {
    readonly path: string;
    readonly key: string;
    readonly bodyBytes: number;
  },
): Promise<void> {
  const {key, ...rest} = question;
  const metrics = metricsAddress(world, index);
  const common = {metrics, host: HOST, method: 'GET', fingerprint: undefined};
  const explanation =
    key === ''
      ? await ask({...common, ...rest, keyFile: undefined})
      : await withKeyFile(key, keyFile => ask({...common, ...rest, keyFile}));
  explanations.set(world, explanation);
  const text = `${textOf(explanation)}\n${JSON.stringify(explanation)}`;
  texts.set(world, [...(texts.get(world) ?? []), text]);
}

When(
  /^the daemon of VM (\d+) is asked (?:(\d+) times )?about "([^"]*)" with the key "([^"]*)"(?: and a body of (\d+) bytes)?$/,
  async function (
    this: World,
    index: string,
    times: string | null,
    requestPath: string,
    key: string,
    bytes: string | null,
  ) {
    const question = {path: requestPath, key, bodyBytes: Number(bytes ?? 0)};
    for (let time = 0; time < Number(times ?? 1); time += 1) {
      await askAbout(this, Number(index), question);
    }
  },
);

Then(
  'the route is {string} and the customer is {string}',
  function (this: World, route: string, customer: string) {
    const explanation = explanationOf(this);
    assert.equal(explanation.route?.name, route);
    assert.equal(explanation.customer?.name, customer);
  },
);

Then(
  'the plan for {string} is {string}, first at {string}, at {int} gates',
  function (
    this: World,
    service: string,
    plan: string,
    vm: string,
    count: number,
  ) {
    const target = targetOf(this, service);
    assert.equal(target.plan, plan);
    const chosen = target.gates.filter(({use}) => use === plan);
    assert.equal(chosen.length, count);
    const [first] = chosen.toSorted(
      (a, b) => Number(a.order) - Number(b.order),
    );
    assert.equal(first?.vm, vm);
    assert.ok(target.mayBeFirst.includes(vm));
  },
);

Then('each gate has costs that add up to its cost', function (this: World) {
  targetOf(this, SERVICE).gates.forEach(({cost, costs}) => {
    const sum = Object.values(costs).reduce((a, b) => a + b);
    assert.ok(Math.abs(sum - cost) < 1e-9);
  });
});

Then(
  'the gate of {string} is not used because it is {string}',
  function (this: World, vm: string, reason: string) {
    const {gates} = targetOf(this, SERVICE);
    const gate = gates.find(({vm: id}) => id === vm);
    assert.equal(gate?.use, 'none');
    assert.equal(gate.reason, reason);
  },
);

Then(
  'a request to {string} at VM {int} runs at a VM that may be first',
  async function (this: World, requestPath: string, index: number) {
    const {fleet} = stateOf(this);
    const options = {path: requestPath, key: 'key-big'};
    const answer = await send(fleet.vm(index), options);
    assert.equal(answer?.status, 200);
    const ran = fleet.vms.find(({backend}) => backend.seen.includes(answer.id));
    assert.ok(targetOf(this, SERVICE).mayBeFirst.includes(ran?.id ?? ''));
  },
);

Then('the text says {string}', function (this: World, text: string) {
  assert.ok(textOf(explanationOf(this)).includes(text));
});

Then(
  'it would be refused as {string}',
  function (this: World, refusal: string) {
    const explanation = explanationOf(this);
    assert.equal(explanation.refusal?.name, refusal);
    assert.deepEqual(explanation.targets, []);
  },
);

When(
  'VM {int} knows that no instance is ready',
  async function (this: World, index: number) {
    const {daemon} = stateOf(this).fleet.vm(index);
    const isKnown = () =>
      daemon.peers.links.every(
        ({status}) => status?.backend?.state !== 'ready',
      );
    await until('no instance is ready', isKnown, 5000);
  },
);

Then(
  'the plan for {string} is {string}, because of {string}',
  function (this: World, service: string, plan: string, refusal: string) {
    const target = targetOf(this, service);
    assert.equal(target.plan, plan);
    assert.equal(target.refusal, refusal);
  },
);

Then('its quarantine is {string}', function (this: World, kind: string) {
  assert.equal(explanationOf(this).quarantine?.kind, kind);
});

const kinds = new WeakMap<World, readonly string[]>();
/** Longer than the first pause until a trial. */
const AFTER_PAUSE_MS = 31_000;

When(
  'three instances ended during a request, and the daemon is asked about it',
  function (this: World) {
    const guard = new QueryOfDeathGuard({
      isEnabled: true,
      log: SILENT_LOG,
      metrics: new MeshMetrics(),
      onEvidence: () => undefined,
    });
    const fingerprint = 'f'.repeat(22);
    ['i-1', 'i-2', 'i-3'].forEach(instance =>
      guard.recordEnd(fingerprint, instance, 'r-1', 0),
    );
    const times = [1, AFTER_PAUSE_MS, AFTER_PAUSE_MS + 1];
    const asked = times.map(ms => guard.stateOf(fingerprint, ms).kind);
    const checked = guard.check(fingerprint, AFTER_PAUSE_MS + 2).kind;
    kinds.set(this, [...asked, checked]);
  },
);

Then(
  'it is quarantined, then due for a trial each time it is asked',
  function (this: World) {
    const expected = ['quarantined', 'trial', 'trial', 'allowed'];
    assert.deepEqual(kinds.get(this), expected);
  },
);

Then(
  '{int} requests of the key {string} to {string} are served',
  async function (this: World, count: number, key: string, to: string) {
    const {fleet} = stateOf(this);
    const options = {path: to, key};
    for (let sent = 0; sent < count; sent += 1) {
      const answer = await send(fleet.vm(0), options);
      assert.equal(answer?.status, 200);
    }
    stateOf(this).answers = Array.from({length: count}, () => ({
      id: '',
      status: 200,
      headers: {},
      body: '',
    }));
  },
);

Then('no backend server received another request', function (this: World) {
  const {fleet, answers} = stateOf(this);
  const seen = fleet.vms.flatMap(({backend}) => backend.seen);
  assert.equal(seen.length, answers.length);
});

Then(
  'neither an answer nor a log line contains {string}',
  function (this: World, key: string) {
    const answers = texts.get(this) ?? [];
    assert.ok(answers.length > 0);
    assert.ok(answers.every(text => !text.includes(key)));
    const lines = JSON.stringify(stateOf(this).fleet.lines);
    assert.ok(!lines.includes(key));
  },
);

Then('no request is counted for the questions', async function (this: World) {
  const {answers} = stateOf(this);
  const res = await fetch(`http://${metricsAddress(this, 0)}/metrics`);
  const page = await res.text();
  const counts = [
    ...page.matchAll(/^chicorycourse_requests_total\{.*\} (\d+)$/gm),
  ].map(([, count]) => Number(count));
  assert.equal(
    counts.reduce((sum, count) => sum + count, 0),
    answers.length,
  );
});

const refusals = new WeakMap<World, {status: number; text: string}>();

When(
  'the daemon of VM {int} is asked with the query {string}',
  async function (this: World, index: number, query: string) {
    const url = `http://${metricsAddress(this, index)}/explain?${query}`;
    const res = await fetch(url);
    refusals.set(this, {status: res.status, text: await res.text()});
  },
);

Then(
  'the question is refused, naming {string}',
  function (this: World, field: string) {
    const {status, text} = refusals.get(this) ?? {status: 0, text: ''};
    assert.equal(status, 400);
    assert.ok(text.includes(field), text);
  },
);

const outputs = new WeakMap<World, readonly string[]>();

When(
  'the command explains {string} at VM {int} with a key file that has {string}',
  async function (this: World, to: string, index: number, key: string) {
    const metrics = metricsAddress(this, index);
    const run = async (...options: readonly string[]) =>
      withKeyFile(key, async file => {
        const args = ['--metrics', metrics, '--host', HOST, '--path', to];
        const {stdout} = await promisify(execFile)(process.execPath, [
          ...['--import', 'tsx', 'src/main.ts', 'explain-route'],
          ...args,
          ...['--key-file', file, ...options],
        ]);
        return stdout;
      });
    outputs.set(this, [await run(), await run('--json')]);
  },
);

Then(
  'it prints the plan as text, and as JSON, without the key',
  function (this: World) {
    const [text = '', json = ''] = outputs.get(this) ?? [];
    assert.match(text, /service pay \(100 % of the requests\): ask/);
    const explanation = JSON.parse(json) as RouteExplanation;
    assert.equal(explanation.targets[0]?.plan, 'ask');
    assert.ok(!text.includes('key-big') && !json.includes('key-big'));
  },
);
