/** Steps for the pacing of cold instances. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Given, Then, When} from '@cucumber/cucumber';
import {WebSocket} from 'ws';
import fc from 'fast-check';
import {ConfigurationTracker} from '../../src/mesh/configuration/configuration_tracker.js';
import {ColdPacing} from '../../src/mesh/gate/cold_pacing.js';
import {ColdState, type ColdLimits} from '../../src/mesh/gate/cold_state.js';
import {Gate} from '../../src/mesh/gate/gate.js';
import type {Outcome, Reservation} from '../../src/mesh/gate/work.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import type {FleetConfiguration} from '../../src/mesh/model.js';
import {decodeFrame, PEER_PATH} from '../../src/mesh/peers/frames.js';
import {SILENT_LOG} from '../support/silent_log.js';
import {
  allowanceOf,
  SimulatedColdGate,
  type ColdEvent,
  type ColdRule,
} from '../support/simulated_cold_gate.js';
import type {World} from '../support/world.js';
import {configuration, SERVICE, stateOf} from './mesh_path_steps.js';

type Frame = ReturnType<typeof decodeFrame>;

/** One case of the simulation. */
interface ColdCase {
  readonly limits: ColdLimits;
  readonly events: readonly ColdEvent[];
}

interface ColdWorld extends World {
  leftOut?: ColdRule | undefined;
  runs?: number;
  limits?: ColdLimits | undefined;
  state?: ColdState;
  tracker?: ConfigurationTracker;
  invalidLines?: number;
  reportedAtMs?: number;
  configure?: () => void;
  gate?: Gate;
  sent?: number;
  reservations?: readonly Reservation[];
  outcomes?: readonly Outcome[];
  frames?: readonly Frame[];
}

const SEED = 20_264;
const HEARTBEAT_MS = 1500;
const DURATION_MS = 8000;
/** The send window allows for this difference between two ways. */
const MAX_TRANSIT_MS = 50;

const atMs = fc.integer({min: 0, max: DURATION_MS});
const requests = fc.record({
  kind: fc.constant('requests' as const),
  atMs,
  count: fc.integer({min: 1, max: 40}),
  transitMs: fc.integer({min: 0, max: MAX_TRANSIT_MS}),
});
const rareEvent = fc.record({
  kind: fc.constantFrom('gate-restart', 'turn-cold', 'revert'),
  atMs,
});

const coldCases: fc.Arbitrary<ColdCase> = fc
  .record({
    coldPerS: fc.double({min: 0.1, max: 40, noNaN: true}),
    warmupMs: fc.integer({min: 500, max: 20_000}),
    phaseMs: fc.integer({min: 1, max: HEARTBEAT_MS}),
    loads: fc.array(requests, {maxLength: 60}),
    rare: fc.array(rareEvent, {maxLength: 5}),
  })
  .map(({coldPerS, warmupMs, phaseMs, loads, rare}) => {
    const beats = Array.from(
      {length: DURATION_MS / HEARTBEAT_MS},
      (_, index) => ({
        kind: 'heartbeat' as const,
        atMs: phaseMs + index * HEARTBEAT_MS,
      }),
    );
    const events: readonly ColdEvent[] = [...beats, ...loads, ...rare];
    return {
      limits: {coldPerS, warmupMs},
      events: events.toSorted((a, b) => a.atMs - b.atMs),
    };
  });

function simulate({limits, events}: ColdCase, without?: ColdRule) {
  const gate = new SimulatedColdGate(limits, without);
  events.forEach(event => gate.apply(event));
  return gate;
}

function checkAll(
  world: ColdWorld,
  isGood: (gate: SimulatedColdGate, tested: ColdCase) => boolean,
): fc.RunDetails<[ColdCase]> {
  const holds = fc.property(coldCases, tested =>
    isGood(simulate(tested, world.leftOut), tested),
  );
  return fc.check(holds, {seed: SEED, numRuns: world.runs ?? 0});
}

const isWithinAllowance = (gate: SimulatedColdGate, {limits}: ColdCase) =>
  gate.worstPacedCount <= allowanceOf(limits);
const isPacedAfterReport = (gate: SimulatedColdGate) =>
  gate.unpacedAfterReportAtMs.length === 0;

/** Up to the first report, the instance is cold and every gate assumes it. */
function isPacedAtStart(gate: SimulatedColdGate, {events}: ColdCase): boolean {
  const report = events.find(({kind}) => kind === 'heartbeat');
  const turn = events.find(({kind}) => kind === 'turn-cold');
  const untilMs = Math.min(report?.atMs ?? 0, turn?.atMs ?? Infinity);
  // A short warm-up may end before the first report.
  const early = gate.arrivals.filter(
    ({atMs: at}) => at < Math.min(untilMs, 500),
  );
  return early.every(({isPaced}) => isPaced);
}

function assertHolds(details: fc.RunDetails<[ColdCase]>): void {
  assert.ok(!details.failed, JSON.stringify(details.counterexample));
}

When(
  '{int} random patterns of requests, restarts and cold starts are simulated',
  function (this: ColdWorld, runs: number) {
    this.runs = runs;
  },
);

When(
  '{int} random patterns are simulated without the rule {string}',
  function (this: ColdWorld, runs: number, rule: ColdRule) {
    this.runs = runs;
    this.leftOut = rule;
  },
);

Then(
  'no second that ends with a paced request has more than the allowance',
  function (this: ColdWorld) {
    assertHolds(checkAll(this, isWithinAllowance));
  },
);

Then(
  'no request is sent without pacing once the instance has reported',
  function (this: ColdWorld) {
    assertHolds(checkAll(this, isPacedAfterReport));
  },
);

Then(
  'no request reaches a cold instance without pacing before the first report',
  function (this: ColdWorld) {
    assertHolds(checkAll(this, isPacedAtStart));
  },
);

Then(
  'the simulation finds a cold instance that gets too much',
  function (this: ColdWorld) {
    const details = checkAll(
      this,
      (gate, tested) =>
        isWithinAllowance(gate, tested) && isPacedAtStart(gate, tested),
    );
    assert.ok(details.failed);
  },
);

Given(
  'a service with WarmupS {float} and ColdPerS {float}',
  function (this: ColdWorld, warmupS: number, coldPerS: number) {
    this.limits = {warmupMs: warmupS * 1000, coldPerS};
  },
);

Given("a service whose record isn't known", function (this: ColdWorld) {
  this.limits = undefined;
});

When(
  'the gate starts, and the instance reports {int} ms after {int} ms',
  function (this: ColdWorld, coldForMs: number, reportAtMs: number) {
    const state = new ColdState(0);
    state.configure(this.limits);
    this.state = state;
    this.reportedAtMs = reportAtMs;
    this.configure = () => state.report(coldForMs, reportAtMs);
  },
);

Then(
  /^(\d+) ms after the start the pace is (\S+) per second$/,
  function (this: ColdWorld, afterMs: string, pace: string) {
    if (Number(afterMs) >= (this.reportedAtMs ?? 0)) this.configure?.();
    const perS = this.state?.pace(Number(afterMs))?.perS;
    assert.equal(perS === undefined ? 'none' : String(perS), pace);
  },
);

Given(
  /^a gate that was configured with (\S+) "(.+)"$/,
  function (this: ColdWorld, field: string, value: string) {
    this.invalidLines = 0;
    const count = (event: string) => {
      if (event !== 'cold-limits-invalid') return;
      this.invalidLines = (this.invalidLines ?? 0) + 1;
    };
    const pacing = new ColdPacing({
      log: {...SILENT_LOG, belief: count},
      metrics: new MeshMetrics(),
      onLimit: () => undefined,
    });
    const valid = {name: SERVICE, healthPath: '/', warmupMs: 1, coldPerS: 1};
    this.configure = () => pacing.configure({...valid, [field]: Number(value)});
  },
);

Then(
  'its log has {int} line of invalid limits after {int} such configurations',
  function (this: ColdWorld, lines: number, times: number) {
    for (let time = 0; time < times; time += 1) this.configure?.();
    assert.equal(this.invalidLines, lines);
  },
);

function coldConfiguration(
  version: number,
  limits: Partial<ColdLimits>,
): FleetConfiguration {
  const services = [{name: SERVICE, healthPath: '/health', ...limits}];
  return {...configuration(version), services};
}

Given(
  'a service with WarmupS {float} and ColdPerS {float} is configured on the fleet',
  function (this: World, warmupS: number, coldPerS: number) {
    const limits = {warmupMs: warmupS * 1000, coldPerS};
    stateOf(this).fleet.configure(coldConfiguration(2, limits));
  },
);

function reportCold(world: World, index: number, coldForMs: number): void {
  const {id, daemon} = stateOf(world).fleet.vm(index);
  daemon.gate.applyHeartbeat({
    instance: `instance-${id}`,
    service: SERVICE,
    state: 'ready',
    slots: 8,
    coldForMs,
    startedAtUnixMs: 1000,
    sequence: 2,
  });
}

Given(
  'the instance of VM {int} reports that it stays cold for {int} ms',
  function (this: ColdWorld, index: number, coldForMs: number) {
    reportCold(this, index, coldForMs);
    this.reportedAtMs = performance.now();
  },
);

Given(
  'every instance reports that it stays cold for {int} ms',
  function (this: ColdWorld, coldForMs: number) {
    this.reportedAtMs = performance.now();
    stateOf(this).fleet.vms.forEach((_, index) =>
      reportCold(this, index, coldForMs),
    );
  },
);

/** Time in which a peer gets a status that has changed. */
const STATUS_WAIT_MS = 300;

When(
  'a peer connects to VM {int}, whose configuration changes later',
  async function (this: ColdWorld, index: number) {
    const {fleet} = stateOf(this);
    const {self, configurationTracker} = fleet.vm(index).daemon;
    const frames: Frame[] = [];
    const socket = new WebSocket(`ws://${self.address}${PEER_PATH}`);
    socket.on('message', (bytes: Buffer) =>
      frames.push(decodeFrame(bytes, 'peer')),
    );
    await once(socket, 'open');
    await sleep(STATUS_WAIT_MS);
    const current = configurationTracker.configuration;
    assert.ok(current);
    fleet.configure({...current, version: current.version + 1});
    await sleep(STATUS_WAIT_MS);
    socket.terminate();
    this.frames = frames;
  },
);

Then(
  'it gets {int} full statuses, each followed by a wait for a turn',
  function (this: ColdWorld, least: number) {
    const frames = this.frames ?? [];
    const next = frames.flatMap(({kind}, index) =>
      kind === 'status' ? [frames[index + 1]] : [],
    );
    assert.ok(next.length >= least, `${next.length} full statuses`);
    next.forEach(frame => {
      assert.ok(frame?.kind === 'load', frame?.kind);
      assert.notEqual(frame.load.turnWaitMs, undefined);
    });
  },
);

function worstSecond(arrivalsAtMs: readonly number[]): number {
  const counts = arrivalsAtMs.map(
    from => arrivalsAtMs.filter(at => at >= from && at < from + 1000).length,
  );
  return Math.max(0, ...counts);
}

Then(
  'VM {int} got at most {int} requests in any second',
  function (this: World, index: number, most: number) {
    const worst = worstSecond(
      stateOf(this).fleet.vm(index).backend.arrivalsAtMs,
    );
    assert.ok(worst <= most, `${worst} in a second`);
  },
);

Then(
  'from {int} ms after its report, VM {int} got at most {int} requests in any second',
  function (this: ColdWorld, afterMs: number, index: number, most: number) {
    const fromMs = (this.reportedAtMs ?? 0) + afterMs;
    const {arrivalsAtMs} = stateOf(this).fleet.vm(index).backend;
    const worst = worstSecond(arrivalsAtMs.filter(at => at >= fromMs));
    assert.ok(worst <= most, `${worst} in a second`);
  },
);

Then(
  'VM {int} got at least {int} requests',
  function (this: World, index: number, least: number) {
    const {length} = stateOf(this).fleet.vm(index).backend.arrivalsAtMs;
    assert.ok(length >= least, `${length} requests`);
  },
);

Then(
  'VM {int} exports a cold limit of {string}',
  async function (this: World, index: number, limit: string) {
    const {metrics} = stateOf(this).fleet.vm(index).daemon.boundAddresses;
    const text = await (await fetch(`http://${metrics}/metrics`)).text();
    const line = `chicorycourse_backend_cold_limit_per_second ${limit}`;
    assert.ok(text.split('\n').includes(line));
  },
);

Given(
  'a tracker that got version {int} from a peer without cold limits',
  function (this: ColdWorld, version: number) {
    const tracker = new ConfigurationTracker({
      log: SILENT_LOG,
      metrics: new MeshMetrics(),
      onChange: () => undefined,
    });
    tracker.applyIfNewer(coldConfiguration(version, {}), 'vm-1');
    this.tracker = tracker;
  },
);

When(
  'it gets version {int} from the store with cold limits',
  function (this: ColdWorld, version: number) {
    const limits = {warmupMs: 20_000, coldPerS: 10};
    this.tracker?.applyIfNewer(coldConfiguration(version, limits), 'store');
  },
);

When(
  'it gets version {int} from a peer without cold limits again',
  function (this: ColdWorld, version: number) {
    this.tracker?.applyIfNewer(coldConfiguration(version, {}), 'vm-1');
  },
);

Then(
  'its service has a ColdPerS of {float}',
  function (this: ColdWorld, coldPerS: number) {
    const [service] = this.tracker?.configuration?.services ?? [];
    assert.equal(service?.coldPerS, coldPerS);
  },
);

function reportTo(gate: Gate, sequence: number, coldForMs: number): void {
  gate.applyHeartbeat({
    instance: 'instance-1',
    service: SERVICE,
    state: 'ready',
    slots: 8,
    coldForMs,
    startedAtUnixMs: 1000,
    sequence,
  });
}

Given(
  'a gate with 8 slots, whose service has WarmupS {int} and ColdPerS {int}',
  function (this: ColdWorld, warmupS: number, coldPerS: number) {
    this.sent = 0;
    const run = () => {
      this.sent = (this.sent ?? 0) + 1;
      const answer = {kind: 'answered', instance: 'instance-1'} as const;
      const body = Buffer.alloc(0);
      return Promise.resolve({...answer, status: 200, headers: [], body});
    };
    this.gate = new Gate({
      service: SERVICE,
      client: {run},
      log: SILENT_LOG,
      metrics: new MeshMetrics(),
      onChange: () => undefined,
    });
    const limits = {warmupMs: warmupS * 1000, coldPerS};
    this.gate.cold.configure({name: SERVICE, healthPath: '/', ...limits});
    reportTo(this.gate, 1, 0);
  },
);

Given('all its slots are reserved', async function (this: ColdWorld) {
  const numbers = Array.from({length: 8}, (_, index) => index);
  const results = await Promise.all(
    numbers.map(number =>
      this.gate?.reserve(
        {
          requestId: `r-${number}`,
          service: SERVICE,
          route: 'route',
          priority: 0,
          objectiveMs: 1000,
          leftMs: 0,
          assurance: 'none',
        },
        new AbortController().signal,
      ),
    ),
  );
  this.reservations = results.filter(result => result?.kind === 'reserved');
  assert.equal(this.reservations.length, 8);
});

When(
  'its instance reports that it is cold, and all reservations are used',
  async function (this: ColdWorld) {
    assert.ok(this.gate);
    reportTo(this.gate, 2, 20_000);
    const work = {
      requestId: 'r-0',
      method: 'GET',
      path: '/',
      headers: [],
      body: Buffer.alloc(0),
      leftMs: 5000,
      isRepeat: false,
    };
    const {signal} = new AbortController();
    const runs = this.reservations?.map(({run}) => run(work, signal)) ?? [];
    this.outcomes = await Promise.all(runs);
  },
);

Then(
  '{int} requests reach the instance, and {int} are returned as {string}',
  function (this: ColdWorld, sent: number, returned: number, reason: string) {
    assert.equal(this.sent, sent);
    const notRun = this.outcomes?.filter(
      outcome => outcome.kind === 'not-run' && outcome.reason === reason,
    );
    assert.equal(notRun?.length, returned);
  },
);
