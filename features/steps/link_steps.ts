/** Steps for the links of daemons, without the rest of a daemon. */
import assert from 'node:assert/strict';
import {createServer, type Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {reasonOf} from '../../src/errors/failure.js';
import {listen} from '../../src/http/listener.js';
import type {Logger} from '../../src/log/logger.js';
import {WebSocketLinks} from '../../src/member/links.js';
import {blockFor} from '../support/late_event_loop.js';
import type {World} from '../support/world.js';

interface LinkState {
  readonly caller: WebSocketLinks;
  readonly callee: WebSocketLinks;
  readonly server: Server;
  readonly address: string;
  /** When calls are answered. */
  answerDelayMs: number;
  opened: number;
  /** "answered", or why the last call failed. */
  result: string;
  tookMs: number;
}

const states = new WeakMap<World, LinkState>();
const OPEN_MS = 2000;
const CALL_MS = 4000;
/** Far longer than a scenario. */
const NEVER_MS = 600_000;
/** As pings are, which are made all the time. */
const SHORT_CALL_MS = 300;

function stateOf(world: World): LinkState {
  const state = states.get(world);
  assert.ok(state);
  return state;
}

const LOG: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
  for: () => LOG,
};

async function start(world: World): Promise<LinkState> {
  const options = {secret: 'secret', dial: {}, log: LOG};
  const caller = new WebSocketLinks(options);
  const callee = new WebSocketLinks(options);
  const server = createServer();
  server.on('upgrade', (req, socket, head: Buffer) => {
    state.opened += 1;
    callee.accept(req, socket, head);
  });
  const address = await listen(server, '127.0.0.1:0', 'peers');
  const started = {caller, callee, server, address};
  const last = {result: '', tookMs: 0};
  const state = {...started, ...last, answerDelayMs: 0, opened: 0};
  callee.handle('member.news', async () => {
    // Unref: a call that isn't answered must not outlive the scenario.
    await sleep(state.answerDelayMs, undefined, {ref: false});
    return null;
  });
  states.set(world, state);
  return state;
}

async function call(state: LinkState, timeoutMs: number): Promise<void> {
  const {caller, address} = state;
  const startedAtMs = performance.now();
  const body = {updates: []};
  state.result = await caller
    .call(address, 'member.news', body, timeoutMs)
    .then(() => 'answered', reasonOf);
  state.tookMs = performance.now() - startedAtMs;
}

function stop({caller, callee, server}: LinkState): void {
  caller.stop();
  callee.stop();
  server.close();
}

After(function (this: World) {
  const state = states.get(this);
  if (state) stop(state);
});

Given('a daemon with a link to another one', async function (this: World) {
  const state = await start(this);
  await call(state, OPEN_MS);
  assert.equal(state.result, 'answered');
});

Given('the link is closed', async function (this: World) {
  stop(stateOf(this));
  await start(this);
});

Given('the other daemon answers no calls', function (this: World) {
  stateOf(this).answerDelayMs = NEVER_MS;
});

Given(
  'the other daemon answers calls after {int} seconds',
  function (this: World, afterS: number) {
    stateOf(this).answerDelayMs = afterS * 1000;
  },
);

When(
  'it makes a call with a time-out of {int} ms and is then busy for {int} ms',
  async function (this: World, timeoutMs: number, busyMs: number) {
    const called = call(stateOf(this), timeoutMs);
    // The timers run next after an immediate, and the reads after them.
    await new Promise(resolve => setImmediate(resolve));
    blockFor(busyMs);
    await called;
  },
);

When(
  'it is paused for {int} ms and makes a call as it resumes',
  async function (this: World, pauseMs: number) {
    const called = sleep(1).then(() => call(stateOf(this), CALL_MS));
    await new Promise(resolve => setImmediate(resolve));
    blockFor(pauseMs);
    await called;
  },
);

When(
  'it makes a call with a time-out of {int} ms',
  async function (this: World, timeoutMs: number) {
    await call(stateOf(this), timeoutMs);
  },
);

When(
  'it makes calls for {int} seconds',
  async function (this: World, forS: number) {
    const endMs = performance.now() + forS * 1000;
    while (performance.now() < endMs) {
      await call(stateOf(this), SHORT_CALL_MS);
    }
  },
);

Then('it has opened a new link', function (this: World) {
  assert.equal(stateOf(this).opened, 2);
});

Then('it has opened no new link', function (this: World) {
  assert.equal(stateOf(this).opened, 1);
});

Then('the call is answered', function (this: World) {
  assert.equal(stateOf(this).result, 'answered');
});

Then(
  'the call fails with {string} within {int} ms',
  function (this: World, reason: string, withinMs: number) {
    const {result, tookMs} = stateOf(this);
    assert.ok(result.includes(reason), result);
    assert.ok(tookMs <= withinMs, `${tookMs} ms`);
  },
);
