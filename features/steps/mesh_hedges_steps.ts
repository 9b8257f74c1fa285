/** Steps for hedged requests of real daemons. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {Given, Then, When} from '@cucumber/cucumber';
import {WebSocket} from 'ws';
import {
  decodeFrame,
  encodeFrame,
  PEER_PATH,
  type ResponseFrame,
} from '../../src/mesh/peers/frames.js';
import {BURST_HEDGES} from '../../src/mesh/router/hedge_limit.js';
import {loadMeshSettings} from '../../src/mesh/settings.js';
import type {World} from '../support/world.js';
import {stateOf} from './mesh_path_steps.js';

const QUANTILE = 0.95;
const LINE =
  /^chicorycourse_(hedges\w*)_total\{.*(?:event|reason)="(\w+)"\} (\d+)$/gm;

Given(
  'hedges for {int} % of the requests',
  function (this: World, percent: number) {
    const hedging = {maxExtraShare: percent / 100, quantile: QUANTILE};
    stateOf(this).fleet.settings = {hedging};
  },
);

/** Hedges of all daemons by metric and event or reason. */
async function hedgeCounts(world: World): Promise<ReadonlyMap<string, number>> {
  const {vms} = stateOf(world).fleet;
  const pages = await Promise.all(
    vms.map(async ({daemon}) => {
      const {metrics} = daemon.boundAddresses;
      const res = await fetch(`http://${metrics}/metrics`);
      return res.text();
    }),
  );
  const counts = new Map<string, number>();
  pages
    .flatMap(page => [...page.matchAll(LINE)])
    .forEach(([, name, label, count]) => {
      const key = `${name} ${label}`;
      counts.set(key, (counts.get(key) ?? 0) + Number(count));
    });
  return counts;
}

Then(
  'the metrics count hedges for at most {int} % of {int} requests, and how each ended',
  async function (this: World, percent: number, requests: number) {
    const counts = await hedgeCounts(this);
    const countOf = (event: string) => counts.get(`hedges ${event}`) ?? 0;
    const started = countOf('started');
    const routers = stateOf(this).fleet.vms.length;
    const most = (percent / 100) * requests + BURST_HEDGES * routers;
    assert.ok(started > 0 && started <= most, `${started} hedges`);
    assert.ok(countOf('won') > 0);
    assert.equal(countOf('won') + countOf('lost'), started);
  },
);

Then(
  'the metrics count refused hedges for the reason {string}',
  async function (this: World, reason: string) {
    const counts = await hedgeCounts(this);
    assert.ok((counts.get(`hedges_refused ${reason}`) ?? 0) > 0);
    assert.equal(counts.get('hedges started') ?? 0, 0);
  },
);

const faults = new WeakMap<World, string>();

When(
  /^the settings of a daemon have (.+) as "hedging"$/,
  function (this: World, json: string) {
    const address = '127.0.0.1:9';
    const listen = {
      callers: address,
      readiness: address,
      announcements: address,
      peers: address,
      metrics: address,
    };
    const settings = {
      vm: {id: 'vm-0', failureDomain: 'test'},
      listen,
      backend: {address, service: 'pay'},
      store: {address},
      isFirstStart: true,
      stopTimeoutS: 3,
      repeats: {ratio: 0.2, windowS: 10, slack: 60},
      hedging: JSON.parse(json) as unknown,
    };
    const folder = mkdtempSync(path.join(tmpdir(), 'hedging-'));
    const file = path.join(folder, 'settings.json');
    writeFileSync(file, JSON.stringify(settings));
    try {
      loadMeshSettings(file);
    } catch (err) {
      faults.set(this, String(err));
    } finally {
      rmSync(folder, {recursive: true});
    }
  },
);

Then(
  'they are refused, naming {string}',
  function (this: World, fieldPath: string) {
    assert.ok(faults.get(this)?.includes(`${fieldPath}:`), faults.get(this));
  },
);

/** No daemon issues tokens for it. */
const OTHER_SERVICE = 'other';
const LIFETIME_MS = 60_000;
const grants = new WeakMap<World, readonly boolean[]>();

When(
  /^a peer pays (\d+) tokens and asks (\d+) times for a token and (\S+) spare ones$/,
  async function (this: World, paid: string, asked: string, spare: string) {
    const {address} = stateOf(this).fleet.vm(0).daemon.self;
    const socket = new WebSocket(`ws://${address}${PEER_PATH}`);
    await once(socket, 'open');
    const replies: boolean[] = [];
    const count = Number(asked);
    const areAnswered = new Promise<void>(resolve => {
      socket.on('message', (bytes: Buffer) => {
        const frame = decodeFrame<ResponseFrame>(bytes, 'vm-0');
        if (frame.kind === 'repeat') replies.push(frame.isGranted);
        if (replies.length === count) resolve();
      });
    });
    Array.from({length: count}, (_, id) => {
      const tokens = id === 0 ? Number(paid) : 0;
      const payment = {
        service: OTHER_SERVICE,
        lots: [[tokens, LIFETIME_MS]] as const,
        spent: 0,
        spareTokens: Number(spare),
      };
      socket.send(encodeFrame({kind: 'repeat', id, payment}));
    });
    await areAnswered;
    socket.terminate();
    grants.set(this, replies);
  },
);

Then(
  '{int} of its tokens are granted, and the invalid field is logged {int} times',
  function (this: World, granted: number, logged: number) {
    const replies = grants.get(this) ?? [];
    assert.equal(replies.filter(Boolean).length, granted);
    const lines = stateOf(this).fleet.lines.filter(
      ({event}) => event === 'peer-field-invalid',
    );
    assert.equal(lines.length, logged);
  },
);
