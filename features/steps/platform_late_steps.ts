/** Steps for a daemon whose event loop is late. */
import assert from 'node:assert/strict';
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {CONFIGURATION_KEY} from '../../platform/configuration_document.js';
import {StoreFollower} from '../../platform/store_follower.js';
import type {DecisionLog} from '../../src/log/decision_log.js';
import {ConfigurationTracker} from '../../src/mesh/configuration/configuration_tracker.js';
import {MeshMetrics} from '../../src/mesh/mesh_metrics.js';
import type {Vm} from '../../src/mesh/model.js';
import {until} from '../support/fleet.js';
import {blockFor, LateEventLoop} from '../support/late_event_loop.js';
import {TestProcess} from '../support/process.js';

interface LateState {
  readonly store: TestProcess;
  readonly end: AbortController;
  readonly lines: string[];
  readonly metrics: MeshMetrics;
  eventLoop?: LateEventLoop;
  tracker?: ConfigurationTracker;
  /** The ids of the list that the daemon read last. */
  listed: readonly string[];
  /** Paths of the calls that were sent. */
  readonly sent: string[];
  readonly onSending: (message: unknown) => void;
}

const states = new WeakMap<object, LateState>();
const SELF = {id: 'vm-1', address: '127.0.0.1:9', failureDomain: 'a'};
/** Logged when a call failed or its connection was taken for silent. */
const GIVEN_UP =
  /^(store-lost|store-silent|vm-list-failed|vm-lease-unsure|vm-lease-lost) /;
const FAILED_CALL =
  /^chicorycourse_store_calls_total\{.*outcome="failed"\}.*$/m;
/** Undici's channel for requests that it begins to send. */
const SENDING = 'undici:client:sendHeaders';
/** A renewal or a list is due every 1.5 s. */
const CALL_DUE_MS = 4000;
/** A call that was given up would be logged within this time. */
const SETTLED_MS = 1000;

function stateOf(world: object): LateState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

After(async function () {
  const state = states.get(this);
  if (!state) return;
  unsubscribe(SENDING, state.onSending);
  state.eventLoop?.stop();
  state.end.abort();
  await state.store.end();
});

Given(
  "the platform's store with version 1 in a process of its own",
  async function () {
    const store = await TestProcess.start({
      nodeArgs: ['--import', 'tsx'],
      script: 'features/support/platform_store_process.ts',
      args: [],
    });
    const sent: string[] = [];
    const onSending = (message: unknown) => {
      const {request} = message as {readonly request: {readonly path: string}};
      sent.push(request.path);
    };
    subscribe(SENDING, onSending);
    states.set(this, {
      store,
      sent,
      onSending,
      end: new AbortController(),
      lines: [],
      metrics: new MeshMetrics(),
      listed: [],
    });
  },
);

When('each turn of the event loop takes {int} ms', function (turnMs: number) {
  stateOf(this).eventLoop = new LateEventLoop(turnMs);
});

When('a daemon starts to follow the store', function () {
  const state = stateOf(this);
  const {store, end, lines, metrics} = state;
  const record = (event: string, details: object) =>
    void lines.push(`${event} ${JSON.stringify(details)}`);
  const log: DecisionLog = {step: record, failure: record, belief: record};
  const onChange = () => undefined;
  state.tracker = new ConfigurationTracker({log, metrics, onChange});
  const follower = new StoreFollower({
    address: store.firstLine,
    self: SELF,
    tracker: state.tracker,
    peers: {
      applyList: (vms: readonly Vm[]) => {
        state.listed = vms.map(({id}) => id);
      },
    },
    log,
    metrics,
  });
  void follower.run(end.signal);
});

Then(
  'version 1 is in force and the daemon has listed itself within {int} ms',
  async function (withinMs: number) {
    const state = stateOf(this);
    const isReady = () =>
      state.tracker?.version === 1 && state.listed.includes(SELF.id);
    await until('in force and listed', isReady, withinMs).catch(() =>
      assert.fail(state.lines.join('\n')),
    );
  },
);

When(
  'the daemon is paused for {int} ms in each of its next {int} calls',
  async function (pauseMs: number, count: number) {
    const {sent} = stateOf(this);
    const before = sent.length;
    const isOver = () => sent.length >= before + count;
    const pause = () => setImmediate(() => blockFor(pauseMs));
    subscribe(SENDING, pause);
    try {
      const boundMs = count * (pauseMs + CALL_DUE_MS);
      await until('the calls', isOver, boundMs);
    } finally {
      unsubscribe(SENDING, pause);
    }
    await sleep(SETTLED_MS);
  },
);

Then('it read the configuration once', function () {
  const key = new URLSearchParams({PathPrefix: CONFIGURATION_KEY});
  const reads = stateOf(this).sent.filter(path => path === `/kv-range?${key}`);
  assert.equal(reads.length, 1);
});

Then('it gave up no call and took no connection for silent', async function () {
  const {lines, metrics} = stateOf(this);
  assert.deepEqual(
    lines.filter(line => GIVEN_UP.test(line)),
    [],
  );
  assert.equal(FAILED_CALL.exec(await metrics.render())?.[0], undefined);
});
