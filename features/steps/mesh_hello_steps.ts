/** Steps for the hello with which a peer introduces itself. */
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {Then, When} from '@cucumber/cucumber';
import {WebSocket} from 'ws';
import type {Vm} from '../../src/mesh/model.js';
import {encodeFrame, PEER_PATH} from '../../src/mesh/peers/frames.js';
import type {World} from '../support/world.js';
import {stateOf} from './mesh_path_steps.js';

const PEER = {id: 'odd', failureDomain: 'test'};

/** What the peer sends in place of a valid VM. */
const FAULTY_VMS: Readonly<Record<string, unknown>> = {
  'a port out of range': {...PEER, address: '127.0.0.1:70000'},
  'a word as address': {...PEER, address: 'a b:1'},
  'no address': PEER,
  'no VM': undefined,
};

When(
  /^a peer says hello with (.+)$/,
  async function (this: World, fault: string) {
    const {address} = stateOf(this).fleet.vm(0).daemon.self;
    const socket = new WebSocket(`ws://${address}${PEER_PATH}`);
    await once(socket, 'open');
    const vm = FAULTY_VMS[fault] as Vm;
    socket.send(encodeFrame({kind: 'hello', vm}));
    await once(socket, 'close');
  },
);

Then('its connection is closed, and the log tells why', function (this: World) {
  const {lines} = stateOf(this).fleet;
  assert.ok(lines.some(({event}) => event === 'peer-frame-invalid'));
});

Then('the fleet still has {int} VMs', function (this: World, count: number) {
  const {daemon} = stateOf(this).fleet.vm(0);
  assert.equal(daemon.peers.count(), count);
});
