/** Steps for single callers outside the limits, on connections of their own. */
import assert from 'node:assert/strict';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Then, When} from '@cucumber/cucumber';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {until} from '../support/fleet.js';
import {daemonOf} from './platform_process_steps.js';

/** A caller that writes its requests byte by byte as the steps say. */
class RawCaller {
  text = '';
  isClosed = false;
  error = '';
  readonly #socket: Socket;

  constructor(callers: string) {
    const [host, port] = callers.split(':');
    this.#socket = connect(Number(port), host);
    this.#socket.on('data', data => (this.text += String(data)));
    this.#socket.on('error', err => (this.error = err.message));
    this.#socket.on('close', () => (this.isClosed = true));
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  end(): void {
    this.#socket.destroy();
  }

  get statuses(): readonly number[] {
    const found = this.text.matchAll(/HTTP\/1\.1 (\d{3})/g);
    return [...found].map(([, status]) => Number(status));
  }
}

const callers = new WeakMap<object, RawCaller>();
const CHUNKED = 'transfer-encoding: chunked';
/** Longer than a body may stay without progress. */
const RESPONSE_TIMEOUT_MS = 10_000;
const PIECE_PAUSE_MS = 300;
const MAX_ATTEMPTS = 30;
const ATTEMPT_PAUSE_MS = 100;
const BODY_BYTES = 300;

After(function () {
  callers.get(this)?.end();
});

function callerOf(world: object): RawCaller {
  const caller = callers.get(world) ?? new RawCaller(daemonOf(world).callers);
  callers.set(world, caller);
  return caller;
}

function head(id: string, ...fields: readonly string[]): string {
  const lines = [
    'POST /unsafe/1 HTTP/1.1',
    'host: app.example',
    `${NAMES.requestId}: ${id}`,
    `${NAMES.deadline}: 9000`,
    `${NAMES.key}: key-1`,
    ...fields,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

When(
  'a caller announces {int} bytes and sends {int}',
  function (announced: number, sent: number) {
    const caller = callerOf(this);
    caller.write(head('r-1', `content-length: ${announced}`));
    caller.write('x'.repeat(sent));
  },
);

When(
  'a caller sends {int} bytes in chunks of {int}',
  function (bytes: number, chunkBytes: number) {
    const caller = callerOf(this);
    const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
    caller.write(head('r-1', CHUNKED));
    caller.write(chunk.repeat(bytes / chunkBytes));
  },
);

Then(
  'it reads the status {int}, and the connection is closed',
  async function (status: number) {
    const caller = callerOf(this);
    const isClosed = () => caller.isClosed;
    await until('the connection is closed', isClosed, RESPONSE_TIMEOUT_MS);
    assert.deepEqual(caller.statuses, [status], caller.error);
    assert.equal(caller.error, '');
  },
);

/** Sends until the customer's rate admits it; resolves to the status. */
async function sendUntilAdmitted(
  caller: RawCaller,
  send: (id: string) => Promise<void>,
): Promise<number | undefined> {
  for (let attempt = 1; ; attempt += 1) {
    const before = caller.statuses.length;
    await send(`r-${before}`);
    const isAnswered = () => caller.statuses.length > before;
    await until('a response', isAnswered, RESPONSE_TIMEOUT_MS);
    const status = caller.statuses.at(-1);
    if (status !== 429 || attempt === MAX_ATTEMPTS) return status;
    await sleep(ATTEMPT_PAUSE_MS);
  }
}

When(
  'a caller sends bodies in pieces, in one-byte chunks and at once',
  async function () {
    const caller = callerOf(this);
    const length = `content-length: ${BODY_BYTES}`;
    const half = 'x'.repeat(BODY_BYTES / 2);
    const kinds: readonly ((id: string) => Promise<void>)[] = [
      async id => {
        caller.write(head(id, length));
        await sleep(PIECE_PAUSE_MS);
        caller.write(half);
        await sleep(PIECE_PAUSE_MS);
        caller.write(half);
      },
      async id => {
        caller.write(head(id, CHUNKED));
        await sleep(PIECE_PAUSE_MS);
        caller.write(`${'1\r\nx\r\n'.repeat(BODY_BYTES)}0\r\n\r\n`);
      },
      id => {
        caller.write(head(id, length) + half + half);
        return Promise.resolve();
      },
    ];
    for (const send of kinds) {
      assert.equal(await sendUntilAdmitted(caller, send), 200);
    }
  },
);

Then('it gets a success for each on the same connection', function () {
  const {isClosed, statuses} = callerOf(this);
  const served = statuses.filter(status => status === 200);
  assert.deepEqual([isClosed, served.length], [false, 3]);
});

When(
  'a caller sends {int} requests at once on one connection',
  async function (count: number) {
    const caller = callerOf(this);
    const body = 'x'.repeat(BODY_BYTES);
    const requests = Array.from(
      {length: count},
      (_, index) => head(`p-${index}`, `content-length: ${BODY_BYTES}`) + body,
    );
    caller.write(requests.join(''));
    const isAnswered = () => caller.statuses.length >= count;
    await until('all responses', isAnswered, RESPONSE_TIMEOUT_MS);
  },
);

Then('it gets a response to each in their order', function () {
  const {text, statuses} = callerOf(this);
  const pattern = new RegExp(`${NAMES.requestId}: p-(\\d+)`, 'gi');
  const ids = [...text.matchAll(pattern)].map(([, id]) => Number(id));
  assert.deepEqual(
    ids,
    statuses.map((_, index) => index),
  );
});

Then(
  'it reads the status {int}, and "connection: close"',
  async function (status: number) {
    const caller = callerOf(this);
    const hasStatus = () => caller.statuses.includes(status);
    await until(`status ${status}`, hasStatus, RESPONSE_TIMEOUT_MS);
    assert.match(caller.text, /^connection: close\r$/im);
  },
);
