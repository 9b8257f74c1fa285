/** Steps for bodies in very small chunks. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {Given, Then, When} from '@cucumber/cucumber';
import {listen} from '../../src/http/listener.js';
import {readBody, type BodyResult} from '../../src/mesh/router/caller_body.js';
import {until} from '../support/fleet.js';
import {daemonOf, post, startDaemonProcess} from './platform_process_steps.js';

interface BodyState {
  isFaulty: boolean;
  restMb: number;
  statuses: readonly number[];
  body?: BodyResult;
  takenBytes: number;
}

const states = new WeakMap<object, BodyState>();
const MEBIBYTE = 1024 * 1024;
const ONE_BYTE_CHUNK = '1\r\nx\r\n';
const CHUNKS_PER_WRITE = 16_384;
const MAX_ATTEMPTS = 20;
const ATTEMPT_PAUSE_MS = 100;
const CHUNKED = 'transfer-encoding: chunked';
const MEASURE_INTERVAL_MS = 50;

function bodyOf(world: object): BodyState {
  const known = states.get(world);
  const state = known ?? {
    isFaulty: true,
    restMb: 0,
    statuses: [],
    takenBytes: 0,
  };
  states.set(world, state);
  return state;
}

Given(
  'the process of a mesh daemon whose instance sends one-byte chunks without end',
  async function () {
    const state = bodyOf(this);
    const {process} = await startDaemonProcess(this, (_, res) => {
      if (state.isFaulty) sendOneByteChunks(res);
      else res.end('done');
    });
    process.resetPeakMemory();
    state.restMb = process.peakMemoryMb;
  },
);

/** Sends a chunked body until the other side closes. */
function sendOneByteChunks(res: ServerResponse): void {
  res.writeHead(200);
  res.flushHeaders();
  const {socket} = res;
  const chunks = ONE_BYTE_CHUNK.repeat(CHUNKS_PER_WRITE);
  const send = () => {
    if (socket?.destroyed === false) {
      socket.write(chunks, () => setImmediate(send));
    }
  };
  send();
}

When('callers send {int} requests at a time', async function (count: number) {
  const ids = Array.from({length: count}, (_, index) => `faulty-${index}`);
  bodyOf(this).statuses = await Promise.all(
    ids.map(id => postUntilAdmitted(this, id)),
  );
});

/** A daemon that has just started admits few requests of a customer. */
async function postUntilAdmitted(world: object, id: string): Promise<number> {
  const {callers} = daemonOf(world);
  for (let attempt = 1; ; attempt += 1) {
    const status = await post(callers, `${id}-${attempt}`);
    if (status !== 429 || attempt === MAX_ATTEMPTS) return status;
    await sleep(ATTEMPT_PAUSE_MS);
  }
}

Then('all of them are answered as failed', function () {
  const {statuses} = bodyOf(this);
  const failed = statuses.filter(status => status >= 500);
  assert.deepEqual(failed, statuses, statuses.join());
});

Then(
  'the process took at most {int} MB more than at rest',
  function (mostMb: number) {
    const {process} = daemonOf(this);
    assert.ok(process.running);
    const moreMb = process.peakMemoryMb - bodyOf(this).restMb;
    assert.ok(moreMb <= mostMb, `${Math.round(moreMb)} MB more`);
  },
);

When('the instance recovers', function () {
  bodyOf(this).isFaulty = false;
});

Then(
  'the next request is served within {int} ms',
  async function (withinMs: number) {
    let sent = 0;
    const isServed = async () => {
      sent += 1;
      return (await postUntilAdmitted(this, `later-${sent}`)) === 200;
    };
    await until('a request is served', isServed, withinMs);
  },
);

/** The memory in use after a garbage collection. */
function usedBytes(): number {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

When(
  'a body of {int} bytes is read in one-byte chunks',
  async function (sizeBytes: number) {
    const state = bodyOf(this);
    const beforeBytes = usedBytes();
    let peakBytes = beforeBytes;
    const server = createServer((req, res) => {
      const measure = () => (peakBytes = Math.max(peakBytes, usedBytes()));
      const timer = setInterval(measure, MEASURE_INTERVAL_MS);
      void readBody(req, sizeBytes).then(body => {
        clearInterval(timer);
        measure();
        state.body = body;
        res.end();
      });
    });
    const address = await listen(server, '127.0.0.1:0', 'reader');
    await postOneByteChunks(address, sizeBytes);
    server.close();
    state.takenBytes = peakBytes - beforeBytes;
  },
);

/** Posts a chunked body; resolves at the response. */
async function postOneByteChunks(
  address: string,
  sizeBytes: number,
): Promise<void> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  const responded = once(socket, 'data');
  socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${CHUNKED}\r\n\r\n`);
  for (let sent = 0; sent < sizeBytes; sent += CHUNKS_PER_WRITE) {
    const count = Math.min(CHUNKS_PER_WRITE, sizeBytes - sent);
    const isFlushed = socket.write(ONE_BYTE_CHUNK.repeat(count));
    if (!isFlushed) await once(socket, 'drain');
  }
  socket.write('0\r\n\r\n');
  await responded;
  socket.destroy();
}

Then('it is complete', function () {
  assert.equal(bodyOf(this).body?.kind, 'whole');
});

Then('it took at most {int} bytes of memory', function (mostBytes: number) {
  const {takenBytes} = bodyOf(this);
  const takenMb = (takenBytes / MEBIBYTE).toFixed(1);
  assert.ok(takenBytes <= mostBytes, `${takenMb} MB`);
});
