/** Steps for unusual callers: raw bytes, pipelining, uploads, disconnects. */
import {Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import {readFileSync} from 'node:fs';
import {request as httpRequest} from 'node:http';
import {Readable} from 'node:stream';
import {until} from '../support/fleet.js';
import {sendRawBytes, unescapeBytes} from '../support/raw_socket.js';
import {runsOfAll} from '../support/runs.js';
import type {World} from '../support/world.js';

const MB = 1024 * 1024;
const RUN_START_TIMEOUT_MS = 10_000;
const LONG_FIELD_BYTES = 20_000;

/** The response text of a scenario, and the daemons' memory before it. */
const responses = new WeakMap<World, string>();
const memoryBefore = new WeakMap<World, ReadonlyMap<string, number>>();

function statusesIn(text: string): readonly string[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(m => m[1] ?? '');
}

function callersAddressOf(world: World, daemon: string): string {
  return world.fleet.daemon(daemon).addresses.callers;
}

function keyOf(world: World, customer: string): string {
  return world.keys.get(customer) ?? '';
}

function readPeakMemory(world: World): ReadonlyMap<string, number> {
  const entries = [...world.fleet.daemons].map(([id, {process: proc}]) => {
    const status = readFileSync(`/proc/${proc.pid}/status`, 'utf8');
    const kilobytes = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
    return [id, kilobytes * 1024] as const;
  });
  return new Map(entries);
}

When(
  'these raw bytes with the key of {string} are sent to daemon {string}: {string}',
  async function (this: World, customer: string, daemon: string, text: string) {
    const bytes = unescapeBytes(text)
      .replaceAll('KEY', keyOf(this, customer))
      .replaceAll('LONG', 'x'.repeat(LONG_FIELD_BYTES));
    const isComplete = (got: string) => got.includes('\r\n\r\n');
    const address = callersAddressOf(this, daemon);
    responses.set(this, await sendRawBytes(address, bytes, isComplete));
  },
);

Then(
  'the first response status is {int}',
  function (this: World, status: number) {
    const text = responses.get(this) ?? '';
    assert.equal(text.split(' ')[1], String(status), text);
  },
);

When(
  '{string} uploads {int} MB to {string} and then requests {string} on the same connection to daemon {string}',
  async function (
    this: World,
    customer: string,
    megabytes: number,
    upload: string,
    path: string,
    daemon: string,
  ) {
    const fields = `Host: a\r\nX-Api-Key: ${keyOf(this, customer)}\r\n`;
    const length = `Content-Length: ${megabytes * MB}\r\n\r\n`;
    const bytes =
      `POST ${upload} HTTP/1.1\r\n${fields}${length}` +
      'x'.repeat(megabytes * MB) +
      `GET ${path} HTTP/1.1\r\n${fields}\r\n`;
    const isComplete = (text: string) => statusesIn(text).length === 2;
    const address = callersAddressOf(this, daemon);
    responses.set(this, await sendRawBytes(address, bytes, isComplete));
  },
);

Then(
  'the response statuses are {string}',
  function (this: World, expected: string) {
    const text = responses.get(this) ?? '';
    assert.equal(statusesIn(text).join(' '), expected, text);
  },
);

Then('no instance ran a request', async function (this: World) {
  assert.deepEqual(await runsOfAll(this), []);
});

Given(
  'the instances record the bytes that they receive',
  async function (this: World) {
    const all = [...this.fleet.instances.values()];
    await Promise.all(
      all.map(({address}) => fetch(`http://${address}/keep-bytes`)),
    );
  },
);

When(
  '{string} sends its key in several header fields to daemon {string}',
  async function (this: World, customer: string, daemon: string) {
    const key = keyOf(this, customer);
    const headers = {
      'x-api-key': key,
      authorization: `Bearer ${key}`,
      cookie: `session=${key}`,
      'x-other': `before ${key} after`,
      connection: 'x-drop',
      'x-drop': '1',
    };
    const {hostname, port} = new URL(
      `http://${callersAddressOf(this, daemon)}`,
    );
    const options = {hostname, port, path: '/intake/key', headers};
    const status = await new Promise<number>((resolve, reject) => {
      const req = httpRequest(options, res => {
        res.resume();
        resolve(res.statusCode ?? 0);
      });
      req.on('error', reject);
      req.end();
    });
    this.answers = [{status, headers: new Headers(), text: ''}];
  },
);

Then(
  'no instance received the key of {string}',
  async function (this: World, customer: string) {
    const key = keyOf(this, customer);
    const all = [...this.fleet.instances.values()].map(async ({address}) => {
      const hasReceived = async (text: string) => {
        // In hexadecimal, so that the query itself doesn't contain the text.
        const hex = Buffer.from(text).toString('hex');
        const res = await fetch(`http://${address}/seen?hex=${hex}`);
        return ((await res.json()) as {seen: boolean}).seen;
      };
      assert.equal(await hasReceived('x-request-id'), true);
      assert.equal(await hasReceived(key), false);
    });
    await Promise.all(all);
  },
);

When(
  '{string} pipelines {int} requests of different duration and answer size to daemon {string}',
  async function (this: World, customer: string, count: number, id: string) {
    const bytes = Array.from({length: count}, (_, index) =>
      [
        `GET /intake/p${index} HTTP/1.1`,
        'Host: a',
        `X-Api-Key: ${keyOf(this, customer)}`,
        `X-Echo: e${index}`,
        `X-Work-Ms: ${((index * 7) % 5) * 20}`,
        `X-Answer-Bytes: ${((index * 3) % 4) * 3000}`,
        '\r\n',
      ].join('\r\n'),
    ).join('');
    const isComplete = (text: string) =>
      (text.match(/"padding":"x*"\}/g) ?? []).length === count;
    const text = await sendRawBytes(
      callersAddressOf(this, id),
      bytes,
      isComplete,
    );
    responses.set(this, text);
  },
);

Then(
  'the pipelined answers come in the order of the requests',
  function (this: World) {
    const text = responses.get(this) ?? '';
    const echoes = [...text.matchAll(/"echo":"e(\d+)"/g)].map(m =>
      Number(m[1]),
    );
    assert.deepEqual(echoes, [...echoes.keys()]);
    assert.ok(echoes.length > 0, text);
  },
);

When(
  '{string} uploads {int} MB to {string} at daemon {string}',
  async function (
    this: World,
    customer: string,
    megabytes: number,
    path: string,
    daemon: string,
  ) {
    memoryBefore.set(this, readPeakMemory(this));
    const chunk = Buffer.alloc(MB, 'x');
    const body = Readable.from(
      Array.from({length: megabytes}).map(() => chunk),
    );
    const init = {
      method: 'POST',
      headers: {'x-api-key': keyOf(this, customer)},
      body: Readable.toWeb(body),
      duplex: 'half',
    };
    this.answers = [await this.request(daemon, path, init as RequestInit)];
  },
);

Then(
  'the instance received all {int} MB',
  async function (this: World, megabytes: number) {
    const [run] = await runsOfAll(this);
    assert.equal(run?.bodyBytes, megabytes * MB);
  },
);

Then(
  'the peak memory of no daemon grew by more than {int} MB',
  function (this: World, megabytes: number) {
    const before = memoryBefore.get(this) ?? new Map<string, number>();
    const growthMb = [...readPeakMemory(this)].map(([id, bytes]) => {
      return [id, Math.round((bytes - (before.get(id) ?? 0)) / MB)] as const;
    });
    process.stdout.write(
      `\npeak memory grew by ${JSON.stringify(growthMb)} MB\n`,
    );
    growthMb.forEach(([, growth]) => assert.ok(growth <= megabytes));
  },
);

When(
  '{string} disconnects while {string} runs through daemon {string}',
  async function (this: World, customer: string, path: string, daemon: string) {
    const disconnect = new AbortController();
    const headers = {'x-api-key': keyOf(this, customer), 'x-work-ms': '1500'};
    const init = {headers, signal: disconnect.signal};
    const sent = this.request(daemon, path, init).catch(() => undefined);
    const runs = async () => (await runsOfAll(this)).length > 0;
    await until('the request runs at an instance', runs, RUN_START_TIMEOUT_MS);
    disconnect.abort();
    await sent;
  },
);

Then(
  'the run of {string} does not finish',
  async function (this: World, path: string) {
    await new Promise(resolve => setTimeout(resolve, 2000));
    const runs = (await runsOfAll(this)).filter(run => run.path === path);
    assert.deepEqual(
      runs.map(run => run.finished),
      [false],
    );
  },
);
