/** Steps for the evacuation of failure domains in a mesh fleet. */
import assert from 'node:assert/strict';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {EvacuatedDomains} from '../../src/mesh/evacuation/evacuated_domains.js';
import {Gate} from '../../src/mesh/gate/gate.js';
import type {
  Declined,
  Outcome,
  Reservation,
  SlotRequest,
  Work,
} from '../../src/mesh/gate/work.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {until} from '../support/fleet.js';
import type {MeshVm} from '../support/mesh_fleet.js';
import {SILENT_LOG} from '../support/silent_log.js';
import type {World} from '../support/world.js';
import {
  configuration,
  send,
  SERVICE,
  stateOf,
  type Answer,
} from './mesh_path_steps.js';

interface EvacuationWorld extends World {
  gate?: Gate;
  finish?: (outcome: Outcome) => void;
  reservation?: Reservation;
  waiting?: Promise<Reservation | Declined>;
  running?: Promise<Outcome>;
  domains?: EvacuatedDomains;
  loadAnswers?: readonly Answer[];
  evacuatedAtMs?: number;
}

const INSTANCE = 'instance-1';

Given(
  'the VMs are in the failure domains {string}, which can be evacuated',
  function (this: World, names: string) {
    const {fleet} = stateOf(this);
    fleet.domains = names.split(' ');
    fleet.canEvacuate = true;
  },
);

function vmsOf(world: World): readonly MeshVm[] {
  return stateOf(world).fleet.vms;
}

function domainOf({daemon}: MeshVm): string {
  return daemon.self.failureDomain;
}

function evacuate(vms: readonly MeshVm[], domains: readonly string[]): void {
  vms.forEach(({daemon}) => daemon.evacuatedDomains.replaceAll(domains));
}

When('no domain is evacuated', async function (this: World) {
  const vms = vmsOf(this);
  evacuate(vms, []);
  // Requests must not fail only because a status is still on its way.
  const isReady = () =>
    vms.every(({daemon}) =>
      daemon.peers.links.every(
        ({status}) => status?.backend?.state === 'ready',
      ),
    );
  await until('all gates are ready', isReady, 1000);
});

const KNOWING: Readonly<
  Record<string, (vms: readonly MeshVm[]) => readonly MeshVm[]>
> = {
  'every daemon': vms => vms,
  'every daemon of domain a': vms => vms.filter(vm => domainOf(vm) === 'a'),
  'the first daemon': vms => vms.slice(0, 1),
  'every daemon but the last': vms => vms.slice(0, -1),
};

When(
  /^domain "(.+)" is evacuated, as (.+) knows?$/,
  function (this: World, names: string, who: string) {
    const vms = vmsOf(this);
    const domains = names.split(' ');
    // The gates of the domain enforce what late routers don't know.
    const late =
      who === 'the first daemon'
        ? KNOWING['every daemon of domain a']
        : undefined;
    const knowing = [...(KNOWING[who]?.(vms) ?? []), ...(late?.(vms) ?? [])];
    assert.ok(knowing.length > 0);
    evacuate(knowing, domains);
  },
);

Then('every response has status {int}', function (this: World, status: number) {
  const {answers} = stateOf(this);
  const statuses = new Set(answers.map(answer => answer.status));
  assert.deepEqual([...statuses], [status]);
});

function arrivalsIn(world: World, domain: string): readonly number[] {
  return vmsOf(world)
    .filter(vm => domainOf(vm) === domain)
    .flatMap(({backend}) => backend.arrivalsAtMs);
}

Then('no instance got a request', function (this: World) {
  const seen = vmsOf(this).flatMap(({backend}) => backend.seen);
  assert.deepEqual(seen, []);
});

Then(
  'the instances of domain {string} got no request',
  function (this: World, domain: string) {
    assert.deepEqual(arrivalsIn(this, domain), []);
  },
);

Then(
  'the instances of domain {string} got some requests',
  function (this: World, domain: string) {
    assert.ok(arrivalsIn(this, domain).length > 0);
  },
);

When(
  'domain {string} is evacuated after {int} ms of {int} requests per second to {string}',
  async function (
    this: EvacuationWorld,
    domain: string,
    afterMs: number,
    perS: number,
    path: string,
  ) {
    const vms = vmsOf(this);
    const pending: Promise<Answer | undefined>[] = [];
    const startedAtMs = performance.now();
    const count = (2 * afterMs * perS) / 1000;
    setTimeout(() => {
      this.evacuatedAtMs = performance.now();
      evacuate(vms, [domain]);
    }, afterMs);
    for (let index = 0; index < count; index += 1) {
      const dueAtMs = startedAtMs + (index / perS) * 1000;
      await sleep(Math.max(0, dueAtMs - performance.now()));
      const vm = stateOf(this).fleet.vm(index % vms.length);
      pending.push(send(vm, {path, key: 'key-big', deadlineMs: 8000}));
    }
    const answers = await Promise.all(pending);
    this.loadAnswers = answers.filter(answer => answer !== undefined);
  },
);

When(
  '{int} requests to {string} arrive at domain {string}, which is evacuated {int} ms later',
  async function (
    this: EvacuationWorld,
    count: number,
    path: string,
    domain: string,
    laterMs: number,
  ) {
    const near = vmsOf(this).filter(vm => domainOf(vm) === domain);
    const options = {path, key: 'key-big', deadlineMs: 8000};
    const pending = Array.from({length: count}, (_, index) => {
      const vm = near[index % near.length];
      assert.ok(vm);
      return send(vm, options);
    });
    await sleep(laterMs);
    this.evacuatedAtMs = performance.now();
    evacuate(vmsOf(this), [domain]);
    const answers = await Promise.all(pending);
    this.loadAnswers = answers.filter(answer => answer !== undefined);
  },
);

Then(
  'every one of these requests was served',
  function (this: EvacuationWorld) {
    const answers = this.loadAnswers ?? [];
    const statuses = new Set(answers.map(({status}) => status));
    assert.deepEqual([...statuses], [200]);
  },
);

Then(
  'the instances of domain {string} got no request later than {int} ms after it',
  function (this: EvacuationWorld, domain: string, afterMs: number) {
    const untilMs = (this.evacuatedAtMs ?? Infinity) + afterMs;
    const arrivals = arrivalsIn(this, domain);
    assert.ok(arrivals.length > 0);
    assert.deepEqual(
      arrivals.filter(at => at > untilMs),
      [],
    );
  },
);

Then(
  'each is refused as {string}, not run',
  function (this: World, reason: string) {
    const {answers, fleet} = stateOf(this);
    assert.ok(answers.every(({status}) => status === 503));
    const refused = fleet.lines.filter(({event}) => event === 'not-served');
    assert.equal(refused.length, answers.length);
    assert.ok(refused.every(line => line['reason'] === reason));
    assert.ok(refused.every(line => line['ran'] === 'no'));
  },
);

When(
  'the last daemon gets its configuration from a peer',
  async function (this: EvacuationWorld) {
    const vms = vmsOf(this);
    vms
      .slice(0, -1)
      .forEach(({daemon}) =>
        daemon.configurationTracker.applyIfNewer(configuration(2), 'test'),
      );
    const last = vms.at(-1);
    assert.ok(last);
    const {configurationTracker: tracker, evacuatedDomains} = last.daemon;
    await until('version 2', () => tracker.version === 2, 2000);
    this.domains = evacuatedDomains;
  },
);

function configureAgain(vms: readonly MeshVm[]): void {
  vms.forEach(({daemon}) =>
    daemon.configurationTracker.applyIfNewer(configuration(2), 'test'),
  );
}

When(
  'the last daemon gets its configuration from a peer outside the domain {string}',
  async function (this: EvacuationWorld, domain: string) {
    const others = vmsOf(this).slice(0, -1);
    configureAgain(others.filter(vm => domainOf(vm) !== domain));
    const tracker = vmsOf(this).at(-1)?.daemon.configurationTracker;
    await until('version 2', () => tracker?.version === 2, 2000);
  },
);

When(
  'the daemons of domain {string} report the same version',
  function (this: World, domain: string) {
    configureAgain(vmsOf(this).filter(vm => domainOf(vm) === domain));
  },
);

Then(
  'the last daemon learns the evacuated domains {string} within {int} ms',
  async function (this: World, names: string, withinMs: number) {
    const domains = vmsOf(this).at(-1)?.daemon.evacuatedDomains;
    const isKnown = () => domains?.known?.join(' ') === names;
    await until(`evacuations "${names}"`, isKnown, withinMs);
  },
);

Given('a gate with 1 slot', function (this: EvacuationWorld) {
  const run = () =>
    new Promise<Outcome>(resolve => {
      this.finish = resolve;
    });
  this.gate = new Gate({
    service: SERVICE,
    client: {run},
    log: SILENT_LOG,
    metrics: new MeshMetrics(),
    onChange: () => undefined,
  });
  sendHeartbeat(this.gate, 1);
});

function sendHeartbeat(gate: Gate, sequence: number): void {
  gate.applyHeartbeat({
    instance: INSTANCE,
    service: SERVICE,
    state: 'ready',
    slots: 1,
    coldForMs: 0,
    startedAtUnixMs: 1000,
    sequence,
  });
}

function gateOf({gate}: EvacuationWorld): Gate {
  assert.ok(gate);
  return gate;
}

function reserve(
  world: EvacuationWorld,
  leftMs: number,
): Promise<Reservation | Declined> {
  const request: SlotRequest = {
    requestId: 'r-1',
    service: SERVICE,
    route: 'route',
    priority: 0,
    objectiveMs: 1000,
    leftMs,
    assurance: 'none',
  };
  return gateOf(world).reserve(request, new AbortController().signal);
}

const WORK: Work = {
  requestId: 'r-1',
  method: 'GET',
  path: '/',
  headers: [],
  body: Buffer.alloc(0),
  leftMs: 2000,
  isRepeat: false,
};

Given('a slot is reserved', async function (this: EvacuationWorld) {
  const result = await reserve(this, 0);
  assert.equal(result.kind, 'reserved');
  this.reservation = result;
});

Given('a request waits for a slot', function (this: EvacuationWorld) {
  this.waiting = reserve(this, 5000);
});

Given('a request is in progress', async function (this: EvacuationWorld) {
  const result = await reserve(this, 0);
  assert.equal(result.kind, 'reserved');
  this.running = result.run(WORK, new AbortController().signal);
  await until('the request is sent', () => this.finish !== undefined, 500);
});

When('its domain is evacuated', function (this: EvacuationWorld) {
  gateOf(this).setDomainState('evacuated');
});

When('its evacuation is reverted', function (this: EvacuationWorld) {
  gateOf(this).setDomainState('in-service');
});

Then(
  "the reservation's request is not run as {string}",
  async function (this: EvacuationWorld, reason: string) {
    const outcome = await this.reservation?.run(
      WORK,
      new AbortController().signal,
    );
    assert.equal(outcome?.kind, 'not-run');
    assert.equal(outcome.reason, reason);
    assert.equal(this.finish, undefined);
  },
);

Then(
  'a reservation is declined as {string}',
  async function (this: EvacuationWorld, reason: string) {
    const result = await reserve(this, 0);
    assert.equal(result.kind, 'declined');
    assert.equal(result.reason, reason);
  },
);

Then(
  'the waiting request is declined as {string} within {int} ms',
  async function (this: EvacuationWorld, reason: string, withinMs: number) {
    const late = sleep(withinMs).then(() => undefined);
    const result = await Promise.race([this.waiting, late]);
    assert.equal(result?.kind, 'declined');
    assert.equal(result.reason, reason);
  },
);

Then(
  'the request in progress ends with a response',
  async function (this: EvacuationWorld) {
    const body = Buffer.from('done');
    const answer = {kind: 'answered', instance: INSTANCE} as const;
    this.finish?.({...answer, status: 200, headers: [], body});
    assert.equal((await this.running)?.kind, 'answered');
  },
);

Given(
  'its service has WarmupS {int} and ColdPerS {int}',
  function (this: EvacuationWorld, warmupS: number, coldPerS: number) {
    const limits = {warmupMs: warmupS * 1000, coldPerS};
    gateOf(this).cold.configure({name: SERVICE, healthPath: '/', ...limits});
  },
);

Then('the gate paces requests', function (this: EvacuationWorld) {
  assert.notEqual(gateOf(this).status?.turnWaitMs, undefined);
});

When('its instance sends a heartbeat', function (this: EvacuationWorld) {
  sendHeartbeat(gateOf(this), 2);
});

Then('the gate paces no requests', function (this: EvacuationWorld) {
  assert.equal(gateOf(this).status?.turnWaitMs, undefined);
});

Given('a daemon that knows no evacuations', function (this: EvacuationWorld) {
  this.domains = new EvacuatedDomains({
    isEnabled: true,
    log: SILENT_LOG,
    metrics: new MeshMetrics(),
    onChange: () => undefined,
  });
});

Given(
  'the store evacuates {string}',
  function (this: EvacuationWorld, domain: string) {
    this.domains?.replaceAll([domain]);
  },
);

When(
  /^a peer sends it the evacuated domains (.+)$/,
  function (this: EvacuationWorld, list: string) {
    this.domains?.adoptFromPeer(JSON.parse(list), 'vm-1');
  },
);

Then(
  /^it knows the evacuated domains (.+)$/,
  function (this: EvacuationWorld, names: string) {
    const known = this.domains?.known;
    const text = known === undefined ? 'unknown' : `"${known.join(' ')}"`;
    assert.equal(text, names);
  },
);
