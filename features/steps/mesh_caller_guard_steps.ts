/** Steps for the guards for callers on one server. */
import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {Socket} from 'node:net';
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {ReadMeter} from '../../src/http/read_meter.js';
import {until} from '../support/fleet.js';
import {GuardedServer, type RawConnection} from '../support/guarded_server.js';

const OPTIONS = {
  budgetBytes: 16 * 1024 * 1024,
  stallMs: 4000,
  maxConnections: 100,
  maxUnfinished: 100,
  refusesConnect: true,
};

const ORDER_PAUSE_MS = 20;
const WAIT_MS = 8000;

interface State {
  readonly server: GuardedServer;
  readonly callers: RawConnection[];
}

const states = new WeakMap<object, State>();

function stateOf(world: object): State {
  const state = states.get(world);
  assert.ok(state, 'no guarded server');
  return state;
}

function connectOne(world: object, allowHalfOpen = false): RawConnection {
  const {server, callers} = stateOf(world);
  const caller = server.connect(allowHalfOpen);
  callers.push(caller);
  return caller;
}

After(function () {
  const state = states.get(this);
  state?.callers.forEach(caller => caller.end());
  state?.server.stop();
});

function get(path = '/'): string {
  return `GET ${path} HTTP/1.1\r\nhost: app.example\r\n\r\n`;
}

function post(bytes: number, sent: number, path = '/'): string {
  const head = `POST ${path} HTTP/1.1\r\nhost: app.example\r\ncontent-length: ${bytes}`;
  return `${head}\r\n\r\n${'x'.repeat(sent)}`;
}

async function start(
  world: object,
  options: Partial<typeof OPTIONS> = {},
): Promise<void> {
  const server = new GuardedServer({...OPTIONS, ...options});
  await server.start();
  states.set(world, {server, callers: []});
}

Given('a guarded server', async function () {
  await start(this);
});

const LIMITS: Readonly<Record<string, Partial<typeof OPTIONS>>> = {
  'unfinished request': {maxUnfinished: 1},
  connection: {maxConnections: 1},
};

Given('a guarded server with room for 1 {}', async function (limit: string) {
  await start(this, LIMITS[limit]);
});

Given('a guarded server that allows half-open connections', async function () {
  await start(this);
});

Given('a guarded server that has no refusal for CONNECT', async function () {
  await start(this, {refusesConnect: false});
});

const PACKETS: Readonly<Record<string, string>> = {
  'a request and an unfinished body': get() + post(1000, 10),
  'a line break': '\r\n',
  'part of a head': 'GET / HT',
  'a whole and an unfinished body': post(1000, 1000) + post(1000, 10),
};

When('a caller sends CONNECT and stays', function () {
  connectOne(this, true).write('CONNECT a:443 HTTP/1.1\r\nhost: a\r\n\r\n');
});

When(
  'a caller sends a slow request, and after {int} ms {}',
  async function (ms: number, packet: string) {
    const caller = connectOne(this);
    caller.write(get('/slow'));
    await sleep(ms);
    caller.write(PACKETS[packet] ?? '');
  },
);

When('a caller sends at once: {}', function (packet: string) {
  connectOne(this).write(PACKETS[packet] ?? '');
});

Then(
  'the caller reads {string}, and its connection is closed',
  async function (text: string) {
    const [caller] = stateOf(this).callers;
    await until('closed', () => caller?.isClosed === true, WAIT_MS);
    assert.ok(caller?.text.includes(text), caller?.text);
  },
);

Then('no bytes of the budget are in use', async function () {
  const {budget} = stateOf(this).server;
  await until('nothing in use', () => budget.usedBytes === 0, WAIT_MS);
});

When(
  'callers leave bodies of {int}, {int} and {int} bytes for {int} ms',
  async function (first: number, second: number, third: number, ms: number) {
    for (const bytes of [first, second, third]) {
      connectOne(this).write(post(bytes, 1));
      // Their order is that of their last progress.
      await sleep(ORDER_PAUSE_MS);
    }
    await sleep(ms);
  },
);

Given('{int} bytes of kept bodies', function (bytes: number) {
  const grant = stateOf(this).server.budget.reserve(bytes, 'kept-body');
  assert.ok(grant);
});

When('another caller sends a body of {int} bytes', function (bytes: number) {
  connectOne(this).write(post(bytes, bytes));
});

async function untilLastReads(
  world: object,
  text: string,
  boundMs: number,
): Promise<void> {
  const last = stateOf(world).callers.at(-1);
  await until(text, () => last?.text.includes(text) === true, boundMs);
}

Then('the last caller reads {string}', async function (text: string) {
  await untilLastReads(this, text, WAIT_MS);
});

Then(
  'within {int} ms the last caller reads {string}',
  async function (ms: number, text: string) {
    await untilLastReads(this, text, ms);
  },
);

/** Positions of the callers that read `text`. */
function callersThatRead(world: object, text: string): readonly number[] {
  const {callers} = stateOf(world);
  return callers.flatMap((caller, i) =>
    caller.text.includes(text) ? [i + 1] : [],
  );
}

Then(
  'only caller {int} was cut off, as {string}',
  function (position: number, reason: string) {
    assert.deepEqual(callersThatRead(this, reason), [position]);
  },
);

Then('no caller was cut off as {string}', function (reason: string) {
  assert.deepEqual(callersThatRead(this, reason), []);
});

When(
  'a caller has gone {int} ms before the body is read',
  async function (ms: number) {
    const {server} = stateOf(this);
    const caller = connectOne(this);
    caller.write(post(1000, 10, '/late'));
    await until('a held request', () => server.held !== undefined, WAIT_MS);
    caller.end();
    await sleep(ms);
  },
);

Then(
  'its body is {string} within {int} ms',
  async function (kind: string, boundMs: number) {
    const {server} = stateOf(this);
    assert.ok(server.held);
    const late = sleep(boundMs, undefined);
    const result = await Promise.race([server.read(server.held), late]);
    assert.equal(result?.kind, kind);
  },
);

When(
  'another caller sends an unfinished body {int} ms later',
  async function (ms: number) {
    await sleep(ms);
    connectOne(this).write(post(1000, 10));
  },
);

Then('the first caller reads {string}', async function (text: string) {
  const [first] = stateOf(this).callers;
  await until(text, () => first?.text.includes(text) === true, WAIT_MS);
});

Then(
  "the caller's connection is closed within {int} ms",
  async function (boundMs: number) {
    const [caller] = stateOf(this).callers;
    const {guard} = stateOf(this).server;
    const isClosed = () => caller?.hasEnded === true && guard.connections === 0;
    await until('closed', isClosed, boundMs);
  },
);

/** A socket without a network, and how much of its data was parsed. */
class StubSocket extends EventEmitter {
  readonly destroyed = false;
  parsedBytes = 0;

  constructor(meter: ReadMeter, onParsed: (bytes: number) => void) {
    super();
    this.on('data', (data: Buffer) => {
      this.parsedBytes += data.length;
      onParsed(data.length);
    });
    const reader = {
      accept: () => true,
      parsed: () => undefined,
      canParse: () => true,
    };
    meter.attach(this as unknown as Socket, reader);
  }

  pause(): void {
    this.emit('pause');
  }

  resume(): void {
    this.emit('resumed');
  }
}

/** Time that the parsing of one portion takes here. */
const PARSE_MS = 1;
const SHORT_BYTES = 9000;
const meters = new WeakMap<object, ReadMeter>();

function parseFor(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

Given(
  'a crowd of {int} connections that always have short data to parse',
  function (count: number) {
    const meter = new ReadMeter();
    meters.set(this, meter);
    Array.from({length: count}, () => {
      const socket = new StubSocket(meter, () => parseFor(PARSE_MS));
      const send = () => socket.emit('data', Buffer.alloc(SHORT_BYTES));
      socket.on('resumed', () => {
        if (!finishedMeters.has(meter)) send();
      });
      send();
    });
  },
);

When('a connection has {int} bytes to parse', function (bytes: number) {
  const meter = meters.get(this);
  assert.ok(meter);
  const socket = new StubSocket(meter, () => parseFor(PARSE_MS));
  uploads.set(this, {socket, bytes});
  socket.emit('data', Buffer.alloc(bytes));
});

const uploads = new WeakMap<object, {socket: StubSocket; bytes: number}>();
/** Meters whose crowd sends no more. */
const finishedMeters = new WeakSet<ReadMeter>();

Then('they are parsed within {int} turns', async function (turns: number) {
  const upload = uploads.get(this);
  const meter = meters.get(this);
  assert.ok(upload && meter);
  const {socket, bytes} = upload;
  for (let turn = 0; turn < turns && socket.parsedBytes < bytes; turn++) {
    await nextTurn();
  }
  finishedMeters.add(meter);
  assert.equal(socket.parsedBytes, bytes);
});
