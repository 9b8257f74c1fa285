/** Steps that close a server while callers are connecting to it. */
import {After, Given, Then, When} from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type {Server} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {createCallerServer} from '../../src/http/caller_server.js';
import {drainServer} from '../../src/http/drain.js';
import {listen} from '../../src/http/listener.js';
import type {World} from '../support/world.js';

interface DrainWorld extends World {
  server?: Server;
  replies?: readonly string[];
}

const MAX_HEADER_BYTES = 16_384;
const REQUEST = 'GET / HTTP/1.1\r\nHost: callers\r\nConnection: close\r\n\r\n';

/** Connects at once; resolves to the complete answer, or to the error text. */
async function sendRequest(port: number): Promise<string> {
  const socket = connect(port, '127.0.0.1');
  socket.write(REQUEST);
  return text(socket).catch((err: unknown) => String(err));
}

Given('a server for callers', async function (this: DrainWorld) {
  this.server = createCallerServer(MAX_HEADER_BYTES);
  this.server.on('request', (_req, res) => res.end());
  await listen(this.server, '127.0.0.1:0', 'callers');
});

When(
  '{int} callers connect and the server stops before it has accepted them',
  async function (this: DrainWorld, count: number) {
    assert.ok(this.server);
    const {port} = this.server.address() as AddressInfo;
    const replies = Array.from({length: count}, () => sendRequest(port));
    // Sockets connect in the next tick and are accepted in the next poll phase.
    await new Promise<void>(resolve => process.nextTick(resolve));
    const drained = drainServer(this.server);
    this.replies = await Promise.all(replies);
    await drained;
  },
);

Then('each of them was answered {int}', function (this: DrainWorld, status) {
  const others = (this.replies ?? []).filter(
    reply => !reply.startsWith(`HTTP/1.1 ${status} `),
  );
  assert.deepEqual(others, []);
});

After(function (this: DrainWorld) {
  this.server?.closeAllConnections();
});
