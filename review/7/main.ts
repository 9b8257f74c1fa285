/**
 * An instance deregisters, keeps serving for a while and ends. Between, the
 * daemon beside it is killed and started again, and a heartbeat that the
 * instance sent before arrives late. No request that a client sends later than
 * `DrainMs` after the acknowledgement may reach the instance.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {documentOf, HOST} from '../support-2/configuration.js';
import {Fleet, type ClientResult} from '../support-2/fleet.js';
import {runCase} from '../support-2/script.js';

const DRAIN_MS = 2000;
/** Machines with other instances of the service. */
const STAYING = 6;
/** More than the slots of the others. */
const CLIENTS = 24;
const CLIENT_PAUSE_MS = 100;
const RESTART_DELAY_MS = 500;
/** When the late heartbeat arrives, after it was sent. */
const LATE_BY_MS = 5500;
/** When the instance ends, after its deregistration was acknowledged. */
const SERVES_MS = 6000;
const KEY = 'key-1';

/** With `TROUBLE=0` the same is played without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

void runCase(hasTrouble, async ({record, use}) => {
  const fleet = await Fleet.start({
    machines: [
      {id: 'm-front', service: 'desk', slots: 3, workMs: 300},
      {id: 'm-leaving', service: 'sweep', slots: 3, workMs: 700},
      ...Array.from({length: STAYING}, (_, i) => {
        const id = `m-staying-${i + 1}`;
        return {id, service: 'sweep', slots: 3, workMs: 700};
      }),
    ],
    configuration: documentOf(
      1,
      [{name: 'order', prefix: '/order/', kind: 'unsafe', service: 'sweep'}],
      [{name: 'cong-ty', keys: [KEY]}],
    ),
    record,
  });
  use(fleet);
  const front = fleet.machine('m-front');
  const leaving = fleet.machine('m-leaving');
  const {instance} = leaving;
  await sleep(4000);
  const results: ClientResult[] = [];
  let isOver = false;
  let next = 0;
  const clients = Array.from({length: CLIENTS}, async () => {
    while (!isOver) {
      next += 1;
      const req = {
        id: `r-${next}`,
        host: HOST,
        path: `/order/${next}`,
        method: 'POST',
        key: KEY,
        deadlineMs: 4000,
        body: `order ${next}`,
      } as const;
      results.push(await front.send(req));
      await sleep(CLIENT_PAUSE_MS);
    }
  });
  await sleep(3000);
  const late = instance.beatLate(LATE_BY_MS);
  await sleep(200);
  if (!(await instance.deregister())) throw new Error('not acknowledged');
  const ackAtMs = performance.now();
  record(`the deregistration of ${instance.id} is acknowledged`);
  setTimeout(() => instance.exit(), SERVES_MS);
  await sleep(600);
  if (hasTrouble) {
    await leaving.killDaemon();
    await sleep(RESTART_DELAY_MS);
    leaving.writeSettings(false);
    leaving.startDaemon();
    await leaving.untilReady();
    record(`the daemon of ${leaving.id} is ready`);
  }
  await late;
  await sleep(ackAtMs + SERVES_MS + 1500 - performance.now());
  isOver = true;
  await Promise.all(clients);
  const served = results.map(result => {
    const run = fleet.machines
      .flatMap(machine => machine.instance.runs)
      .find(({requestId}) => requestId === result.id);
    return {...result, run, afterMs: Math.round(result.sentAtMs - ackAtMs)};
  });
  served.forEach(({id, status, run, afterMs, isLeaving}) => {
    const by = run ? `run by ${run.instance}, ${run.end}` : 'not run';
    const sign = isLeaving ? ', Server-Leaving' : '';
    record(`${id} sent ${afterMs} ms after it: ${by}, answer ${status}${sign}`);
  });
  const atLeaving = served.filter(({run}) => run?.instance === instance.id);
  const passedOn = atLeaving
    .filter(({isLeaving}) => isLeaving)
    .map(({afterMs, tookMs}) => Math.round(afterMs + tookMs));
  const broken = atLeaving.filter(({afterMs}) => afterMs > DRAIN_MS);
  const lost = broken.filter(({run}) => run?.end === 'dropped');
  record(
    `m-front first passed on an answer with Server-Leaving ` +
      `${passedOn[0] ?? '-'} ms after the acknowledgement`,
  );
  record(
    `${broken.length} requests sent later than ${DRAIN_MS} ms after it reached ` +
      `${instance.id}; ${lost.length} of them were lost as it ended`,
  );
  const isServed = served.some(
    ({afterMs, status}) => afterMs > DRAIN_MS && status === 200,
  );
  if (!isServed) throw new Error('no request was served');
  return broken.length;
});
