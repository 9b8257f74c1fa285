/** Steps that send faulty header fields and chunks to HTTP servers. */
import assert from 'node:assert/strict';
import type {ServerOptions} from 'node:http';
import {After, Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import PQueue from 'p-queue';
import {HeartbeatServer} from '../../platform/heartbeat_server.js';
import {close, listen} from '../../src/http/listener.js';
import {StrictServer} from '../../src/http/strict_server.js';
import {MeshFleet} from '../support/mesh_fleet.js';
import {sendRawBytes, unescapeBytes} from '../support/raw_socket.js';
import {SILENT_LOG} from '../support/silent_log.js';
import type {World} from '../support/world.js';

const ANY_PORT = '127.0.0.1:0';
const MAX_CONCURRENT_CONNECTIONS = 20;

interface FieldWorld extends World {
  strictServer?: StrictServer;
  address?: string;
  handledCount?: number;
  bodies?: string[];
  rawAnswer?: string;
  rawAnswers?: readonly string[];
  fieldFleet?: MeshFleet;
  listeners?: readonly string[];
}

async function startStrictServer(
  world: FieldWorld,
  options: ServerOptions = {},
  isSilent = false,
): Promise<void> {
  const bodies: string[] = [];
  world.handledCount = 0;
  world.bodies = bodies;
  world.strictServer = new StrictServer(options);
  world.strictServer.on('upgrade', (_req, socket) => {
    world.handledCount = (world.handledCount ?? 0) + 1;
    socket.destroy();
  });
  world.strictServer.on('request', (req, res) => {
    world.handledCount = (world.handledCount ?? 0) + 1;
    let body = '';
    req.on('data', (chunk: Buffer) => (body += chunk.toString()));
    req.on('end', () => {
      bodies.push(body);
      if (!isSilent) res.end();
    });
  });
  world.address = await listen(world.strictServer, ANY_PORT, 'test');
}

Given('a strict server', async function (this: FieldWorld) {
  await startStrictServer(this);
});

Given(
  /^a strict server with a (lenient|strict) parser( that doesn't respond)?$/,
  async function (this: FieldWorld, parser: string, silent: string | null) {
    const options = {insecureHTTPParser: parser === 'lenient'};
    await startStrictServer(this, options, Boolean(silent));
  },
);

Given(
  "a strict server that doesn't respond",
  async function (this: FieldWorld) {
    await startStrictServer(this, {}, true);
  },
);

Given(
  "a strict server that doesn't respond, with {int} ms for a head of {int} bytes",
  async function (this: FieldWorld, timeoutMs: number, maxBytes: number) {
    const options = {
      headersTimeout: timeoutMs,
      requestTimeout: timeoutMs,
      connectionsCheckingInterval: timeoutMs / 2,
      maxHeaderSize: maxBytes,
    };
    await startStrictServer(this, options, true);
  },
);

After(async function (this: FieldWorld) {
  this.strictServer?.closeAllConnections();
  if (this.strictServer) await close(this.strictServer);
  await this.fieldFleet?.stop();
});

function isCompleteHead(text: string): boolean {
  return text.includes('\r\n\r\n');
}

function isCompleteProblem(text: string): boolean {
  return isCompleteHead(text) && text.endsWith('}');
}

When(
  /^it gets the raw request "([^]*)"$/,
  async function (this: FieldWorld, text: string) {
    const bytes = unescapeBytes(text);
    this.rawAnswer = await sendRawBytes(
      this.address ?? '',
      bytes,
      isCompleteHead,
    );
  },
);

When(
  /^it gets "([^]*)" and then "([^]*)"$/,
  async function (this: FieldWorld, first: string, second: string) {
    this.rawAnswer = await sendRawBytes(
      this.address ?? '',
      unescapeBytes(first),
      isCompleteHead,
      {laterBytes: unescapeBytes(second)},
    );
  },
);

When(
  /^it gets a chunked body "([^]*)"$/,
  async function (this: FieldWorld, text: string) {
    const head =
      'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';
    const bytes = head + unescapeBytes(text);
    this.rawAnswer = await sendRawBytes(
      this.address ?? '',
      bytes,
      isCompleteHead,
    );
  },
);

Then('it answers {int}', function (this: FieldWorld, status: number) {
  const line = this.rawAnswer?.split('\r\n')[0];
  assert.ok(line?.startsWith(`HTTP/1.1 ${status} `), line);
});

Then(
  'its handlers got {int} requests',
  function (this: FieldWorld, count: number) {
    assert.equal(this.handledCount, count);
  },
);

const SEED = 20_264;
const tokenText = fc.stringMatching(/^[a-z0-9-]{0,8}$/);
/** Neither allowed in a name nor the end of one. */
const badInName = fc.constantFrom(...' \t"(),/;<=>?@[]{}\\\u0001\u007f\u00e9');
/** Without LF, which ends the field, and CR, which may be part of a line end. */
const badInValue = fc.constantFrom(...'\u0000\u0001\u000b\u001f\u007f');
const faultyField = fc.oneof(
  fc
    .tuple(tokenText, badInName, tokenText)
    .map(([before, bad, after]) => `x${before}${bad}${after}: 1`),
  fc
    .tuple(tokenText, badInValue, tokenText)
    .map(([before, bad, after]) => `x-value: a${before}${bad}${after}b`),
);

When(
  'it gets {int} requests with a generated faulty field',
  async function (this: FieldWorld, count: number) {
    const fields = fc.sample(faultyField, {seed: SEED, numRuns: count});
    const queue = new PQueue({concurrency: MAX_CONCURRENT_CONNECTIONS});
    this.rawAnswers = await queue.addAll(
      fields.map(field => () => {
        const bytes = `GET / HTTP/1.1\r\nHost: a\r\n${field}\r\n\r\n`;
        return sendRawBytes(this.address ?? '', bytes, isCompleteHead);
      }),
    );
  },
);

Then(
  'each is refused with 400 or its connection is closed',
  function (this: FieldWorld) {
    const accepted = this.rawAnswers?.filter(
      answer => answer !== '' && !answer.startsWith('HTTP/1.1 400 '),
    );
    assert.deepEqual(accepted, []);
  },
);

function parseProblem(answer: string): Record<string, unknown> {
  assert.match(answer, /^HTTP\/1\.1 400 /);
  assert.match(answer, /connection: close/i);
  const body = answer.slice(answer.indexOf('\r\n\r\n'));
  const problem = JSON.parse(body) as Record<string, unknown>;
  assert.equal(problem.type, 'urn:chicorycourse:refusal:bad-request');
  assert.equal(problem.ran, 'no');
  return problem;
}

Then(
  'it refuses it as malformed and names the field {string}',
  function (this: FieldWorld, field: string) {
    const problem = parseProblem(this.rawAnswer ?? '');
    const named = JSON.parse(String(problem.field)) as string;
    assert.equal(named.trimEnd(), field);
  },
);

Then('it refuses it as malformed without a field', function (this: FieldWorld) {
  assert.equal(parseProblem(this.rawAnswer ?? '').field, undefined);
});

Then(
  'it closes the connection without a response',
  function (this: FieldWorld) {
    assert.equal(this.rawAnswer, '');
  },
);

Then('it completed no body', function (this: FieldWorld) {
  assert.deepEqual(this.bodies, []);
});

Then(
  'it completed the body {string}',
  function (this: FieldWorld, body: string) {
    assert.deepEqual(this.bodies, [body]);
  },
);

Given(
  'a mesh daemon and its listener for heartbeats',
  async function (this: FieldWorld) {
    this.fieldFleet = new MeshFleet();
    await this.fieldFleet.start(['pay'], 1);
    const {callers, daemon} = this.fieldFleet.vm(0);
    const heartbeats = new HeartbeatServer(daemon.gate, SILENT_LOG);
    const address = await heartbeats.start(ANY_PORT);
    const {readiness, metrics} = daemon.boundAddresses;
    this.listeners = [
      callers,
      daemon.self.address,
      readiness,
      metrics,
      address,
    ];
  },
);

function sendFieldName(address: string, name: string): Promise<string> {
  const bytes = `GET / HTTP/1.1\r\nHost: a\r\n${name}: 1\r\n\r\n`;
  return sendRawBytes(address, bytes, isCompleteProblem);
}

When(
  'each listener of daemon {string} gets a request with the field name {string}',
  async function (this: FieldWorld, daemon: string, name: string) {
    const {callers, administration, instances, peers} =
      this.fleet.daemon(daemon).addresses;
    const listeners = [callers, administration, instances, peers];
    this.rawAnswers = await Promise.all(
      listeners.map(address => sendFieldName(address, name)),
    );
  },
);

When(
  'each of its listeners gets a request with the field name {string}',
  async function (this: FieldWorld, name: string) {
    const listeners = this.listeners ?? [];
    this.rawAnswers = await Promise.all(
      listeners.map(address => sendFieldName(address, name)),
    );
  },
);

Then(
  "each refuses it with 400 and the field's name",
  function (this: FieldWorld) {
    assert.ok((this.rawAnswers?.length ?? 0) > 0);
    this.rawAnswers?.forEach(answer => {
      assert.match(answer, /^HTTP\/1\.1 400 /);
      assert.match(answer, /connection: close/i);
      const body = answer.slice(answer.indexOf('\r\n\r\n'));
      const problem = JSON.parse(body) as Record<string, unknown>;
      assert.equal(problem.type, 'urn:chicorycourse:refusal:bad-request');
      assert.equal(problem.field, '"X-Bad "');
      assert.equal(problem.ran, 'no');
    });
  },
);
