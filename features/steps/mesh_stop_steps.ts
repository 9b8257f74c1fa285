/** Steps for requests on connections that were open before a planned stop. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {DEFAULT_HEADER_NAMES as NAMES} from '../../src/mesh/header_names.js';
import type {World} from '../support/world.js';
import {stateOf} from './mesh_path_steps.js';

interface StopWorld extends World {
  connection?: Socket;
  status?: number;
}

const REQUEST_ID = 'on-open-connection';
const DEADLINE_MS = 4000;

After(function (this: StopWorld) {
  this.connection?.destroy();
});

Given(
  'a caller has opened a connection to VM {int}',
  async function (this: StopWorld, index: number) {
    const [host, port] = stateOf(this).fleet.vm(index).callers.split(':');
    this.connection = connect(Number(port), host);
    this.connection.on('error', () => undefined);
    await once(this.connection, 'connect');
  },
);

When(
  'the caller sends a request to {string} on its connection',
  async function (this: StopWorld, path: string) {
    const {connection} = this;
    assert.ok(connection);
    connection.write(
      [
        `POST ${path} HTTP/1.1`,
        'Host: app.example',
        `${NAMES.requestId}: ${REQUEST_ID}`,
        `${NAMES.deadline}: ${DEADLINE_MS}`,
        `${NAMES.key}: key-big`,
        'Content-Length: 4',
        '',
        'body',
      ].join('\r\n'),
    );
    const [bytes] = (await once(connection, 'data')) as [Buffer];
    const [, status] = /^HTTP\/1.1 (\d+)/.exec(bytes.toString('latin1')) ?? [];
    this.status = Number(status);
  },
);

Then(
  'it is answered with {int} and has run {int} times',
  function (this: StopWorld, status: number, runs: number) {
    assert.equal(this.status, status);
    const seen = stateOf(this).fleet.vms.flatMap(({backend}) => backend.seen);
    assert.equal(seen.filter(id => id === REQUEST_ID).length, runs);
  },
);
