/**
 * A daemon is stopped and started again while its instance runs on. Soon after
 * that the instance deregisters, without a `draining` before, and serves on for
 * some seconds. A heartbeat that it sent before arrives late. Requests are sent
 * more than `DrainMs` after the acknowledgement, to another machine.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../support/client.js';
import {CONFIGURATION_KEY, documentOf} from '../support/configuration.js';
import {BOUNDS} from '../support/daemon.js';
import {startMachine} from '../support/machine.js';
import {runCase, type Breaches, type CaseContext} from '../support/run_case.js';
import {Store} from '../support/store.js';

const CALM_MS = 12_000;
/** How late the heartbeat is. */
const LATE_MS = 4000;
/** From the start of the daemon until the instance leaves. */
const LEAVE_AFTER_MS = 700;
/** How long the instance serves on after the acknowledgement. */
const SERVES_ON_MS = 12_000;
const ASK_INTERVAL_MS = 400;
/** Requests that are sent together. */
const BATCH = 4;
const CLOCK_MARGIN_MS = 200;

async function play(context: CaseContext): Promise<Breaches> {
  const {record, hasTrouble, atEnd} = context;
  const store = new Store();
  const storeAddress = await store.start();
  atEnd(() => store.stop());
  const keys = ['key-1'];
  store.writeText(CONFIGURATION_KEY, documentOf({version: '00000001', keys}));
  const start = (id: string, service: string) =>
    startMachine({id, service, workMs: 50, store: storeAddress}, context);
  const leaving = await start('vm-a', 'pay');
  const staying = await start('vm-b', 'pay');
  const front = await start('vm-c', 'book');
  const {instance, daemon} = leaving;
  await sleep(CALM_MS);

  instance.stopHeartbeats();
  daemon.signal('SIGTERM');
  record.add('vm-a: SIGTERM, to be started again');
  await daemon.end('SIGTERM');
  await daemon.start();
  const startedAtMs = record.nowMs;
  record.add('vm-a: the daemon runs again');
  const heartbeat = instance.nextHeartbeat();
  const sentAtMs = record.nowMs;
  record.add('i-vm-a: sends a heartbeat, ready');
  if (!hasTrouble) {
    record.add(`i-vm-a: heartbeat ${await instance.deliver(heartbeat)}`);
  }
  await sleep(startedAtMs + LEAVE_AFTER_MS - record.nowMs);
  const status = await instance.deregister();
  if (status !== 200) throw new Error('the deregistration was refused');
  const leftAtMs = record.nowMs;
  record.add('i-vm-a: deregistered, acknowledged');
  if (hasTrouble) {
    await sleep(sentAtMs + LATE_MS - record.nowMs);
    record.add(`i-vm-a: late heartbeat ${await instance.deliver(heartbeat)}`);
  }
  const boundAtMs = Math.max(
    leftAtMs + BOUNDS.drainMs,
    startedAtMs + BOUNDS.contactMs,
  );
  await sleep(Math.max(0, boundAtMs + CLOCK_MARGIN_MS - record.nowMs));
  record.add('all machines are in touch, and nothing may reach i-vm-a');
  const endAtMs = leftAtMs + SERVES_ON_MS;
  for (let ask = 1; record.nowMs < endAtMs; ask += 1) {
    const batch = Array.from({length: BATCH}, (_, index) => {
      const sent = {
        to: front.daemon.callers,
        id: `ask-${ask}-${index}`,
        method: 'POST',
        path: '/unsafe/1',
        key: 'key-1',
        deadlineMs: 4000,
      } as const;
      return sendRequest(sent, record);
    });
    await Promise.all(batch);
    await sleep(ASK_INTERVAL_MS);
  }
  if (staying.instance.runs.length === 0) throw new Error('none was served');
  return instance.runs
    .filter(({atMs}) => atMs > boundAtMs)
    .map(({id, atMs}) => {
      const afterMs = Math.round(atMs - leftAtMs);
      return `${id} reached i-vm-a ${afterMs} ms after the acknowledgement`;
    });
}

/** `TROUBLE=0` plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

void runCase(play, hasTrouble);
