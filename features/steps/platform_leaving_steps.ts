/** Steps for instances that leave: a gate and its listener for heartbeats. */
import assert from 'node:assert/strict';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {HeartbeatServer} from '../../platform/heartbeat_server.js';
import {Gate} from '../../src/mesh/gate/gate.js';
import type {Outcome, SlotRequest, Work} from '../../src/mesh/gate/work.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import {SILENT_LOG} from '../support/silent_log.js';

interface LeavingState {
  readonly gate: Gate;
  readonly heartbeats: HeartbeatServer;
  readonly address: string;
  /** Starts are relative to it, as Unix milliseconds. */
  readonly nowUnixMs: number;
}

const states = new WeakMap<object, LeavingState>();
const ANY_PORT = '127.0.0.1:0';

function leavingOf(world: object): LeavingState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

After(function () {
  states.get(this)?.heartbeats.stop();
});

Given(
  'a gate that found its instance {string} by a probe',
  async function (instance: string) {
    const gate = new Gate({
      service: 'pay',
      client: {
        run: (_, {onNotice}): Promise<Outcome> => {
          onNotice({isLeaving: true, limitPerS: undefined});
          const reason = 'status 503';
          const hasArrived = true;
          return Promise.resolve({
            kind: 'not-run',
            instance,
            reason,
            hasArrived,
          });
        },
      },
      log: SILENT_LOG,
      metrics: new MeshMetrics(),
      onChange: () => undefined,
    });
    gate.adoptProbe(instance, 2);
    const heartbeats = new HeartbeatServer(gate, SILENT_LOG);
    const address = await heartbeats.start(ANY_PORT);
    states.set(this, {gate, heartbeats, address, nowUnixMs: Date.now()});
  },
);

async function post(world: object, path: string, body: string): Promise<void> {
  const {address} = leavingOf(world);
  const method = 'POST';
  const res = await fetch(`http://${address}${path}`, {method, body});
  assert.equal(res.status, 200);
}

/** Bodies of a deregistration, from the time of the instance's start. */
const BODIES: Readonly<Record<string, (born: number) => string>> = {
  'with the time of its start': born => JSON.stringify({born, Sequence: 9}),
  'without a body': () => '',
  "with a body that can't be read": () => '{"born": "yes',
};

When(
  /^"([^"]+)", started (\d+) ms ago, deregisters (with.*)$/,
  async function (instance: string, agoMs: string, how: string) {
    const {nowUnixMs} = leavingOf(this);
    const body = BODIES[how]?.(nowUnixMs - Number(agoMs));
    assert.ok(body !== undefined);
    await post(this, `/Instances.Deregister/${instance}`, body);
  },
);

function sendHeartbeat(
  world: object,
  instance: string,
  born: number,
): Promise<void> {
  const heartbeat = {
    Service: 'pay',
    State: 'ready',
    Concurrency: 2,
    Sequence: 4,
    born,
  };
  const path = `/Instances.Heartbeat/${instance}`;
  return post(world, path, JSON.stringify(heartbeat));
}

When(
  'a heartbeat of {string}, started {int} ms ago, arrives late',
  async function (instance: string, agoMs: number) {
    const {nowUnixMs} = leavingOf(this);
    await sendHeartbeat(this, instance, nowUnixMs - agoMs);
  },
);

When(
  '{string} starts again and sends a heartbeat',
  async function (instance: string) {
    await sendHeartbeat(this, instance, Date.now() + 1000);
  },
);

When(
  '{string} says in a response that it leaves',
  async function (instance: string) {
    const request: SlotRequest = {
      requestId: 'request-1',
      service: 'pay',
      route: 'pay',
      priority: 0,
      objectiveMs: 400,
      leftMs: 1000,
      assurance: 'none',
    };
    const {signal} = new AbortController();
    const reservation = await leavingOf(this).gate.reserve(request, signal);
    assert.ok(reservation.kind === 'reserved');
    const work: Work = {
      requestId: 'request-1',
      method: 'POST',
      path: '/pay',
      headers: [],
      body: Buffer.alloc(0),
      leftMs: 1000,
      isRepeat: false,
    };
    const outcome = await reservation.run(work, signal);
    assert.equal(outcome.instance, instance);
  },
);

Then(
  "the gate's instance is {string} and {string}",
  function (instance: string, state: string) {
    const {status} = leavingOf(this).gate;
    assert.deepEqual([status?.instance, status?.state], [instance, state]);
  },
);
