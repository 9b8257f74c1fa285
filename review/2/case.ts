/**
 * The open connections of two daemons to the store go silent for good; new ones
 * work. A second later the operator takes a key away. Requests with that key
 * are sent more than `ConfigApplyMs` after the acknowledgement, to machines
 * that are in touch again.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {sendRequest} from '../support/client.js';
import {CONFIGURATION_KEY, documentOf} from '../support/configuration.js';
import {BOUNDS} from '../support/daemon.js';
import {startMachine} from '../support/machine.js';
import {Relay} from '../support/relay.js';
import {runCase, type Breaches, type CaseContext} from '../support/run_case.js';
import {Store} from '../support/store.js';

const KEPT_KEY = 'kept-key';
const REVOKED_KEY = 'revoked-key';
/** Time of calm before the disruption. */
const CALM_MS = 12_000;
const REVOKE_AFTER_MS = 1000;
const ASK_INTERVAL_MS = 500;
const ASKS = 16;
/** Longest wait for a moment at which each daemon's next call is a list. */
const MAX_WAIT_MS = 60_000;
const LIST_INTERVAL_MS = 5000;
const RENEW_INTERVAL_MS = 3000;
const MARGIN_MS = 150;
/** A watch lasts 25 s. */
const MAX_WATCH_AGE_MS = 15_000;

/** How the calls to the store begin. */
const CALLS = {
  listAtMs: 'GET /kv-range?PathPrefix=chicory',
  renewAtMs: 'POST /kv-keep',
  watchAtMs: 'GET /kv-watch',
} as const;

/** When a daemon made its calls to the store last. */
interface Calls {
  listAtMs: number;
  renewAtMs: number;
  watchAtMs: number;
}

/** Starts a machine whose daemon reaches the store through a proxy. */
async function startRelayedMachine(
  id: string,
  storeAddress: string,
  context: CaseContext,
) {
  const {record, atEnd} = context;
  const calls: Calls = {listAtMs: 0, renewAtMs: 0, watchAtMs: 0};
  const relay = new Relay(storeAddress, bytes => {
    const line = bytes.toString('latin1', 0, 80);
    const call = Object.entries(CALLS).find(([, start]) =>
      line.startsWith(start),
    )?.[0] as keyof Calls | undefined;
    if (call === undefined) return;
    calls[call] = record.nowMs;
    record.add(`store    ${id} ${line.split(' HTTP')[0]}`);
  });
  const store = await relay.start();
  atEnd(() => relay.stop());
  const options = {id, service: 'pay', workMs: 50, store};
  return {relay, calls, ...(await startMachine(options, context))};
}

/**
 * Whether the daemon's next call to the store will be the list of daemons, its
 * next renewal comes only after that, no call but the watch is in flight, and
 * the watch is not about to end.
 */
function isListNext(calls: Calls, nowMs: number): boolean {
  const {listAtMs, renewAtMs, watchAtMs} = calls;
  const nextListAtMs = listAtMs + LIST_INTERVAL_MS;
  const nextRenewAtMs = renewAtMs + RENEW_INTERVAL_MS;
  return (
    nowMs - Math.max(listAtMs, renewAtMs) > MARGIN_MS &&
    nowMs - watchAtMs < MAX_WATCH_AGE_MS &&
    nextListAtMs > nowMs + MARGIN_MS &&
    nextListAtMs + MARGIN_MS < nextRenewAtMs
  );
}

async function play(context: CaseContext): Promise<Breaches> {
  const {record, hasTrouble, atEnd} = context;
  const store = new Store();
  const storeAddress = await store.start();
  atEnd(() => store.stop());
  const write = (version: string, keys: readonly string[]) => {
    store.writeText(CONFIGURATION_KEY, documentOf({version, keys}));
    record.add(`operator wrote version ${version}, keys ${keys.join(' ')}`);
  };
  write('00000001', [KEPT_KEY, REVOKED_KEY]);
  const machines = await Promise.all(
    ['vm-a', 'vm-b'].map(id => startRelayedMachine(id, storeAddress, context)),
  );
  await sleep(CALM_MS);
  const waitEndMs = record.nowMs + MAX_WAIT_MS;
  const isMoment = () =>
    machines.every(({calls}) => isListNext(calls, record.nowMs));
  // Any moment, instead of one at which no renewal comes first.
  const isAnyMoment = process.env.MOMENT === 'any';
  while (!isAnyMoment && !isMoment() && record.nowMs < waitEndMs) {
    await sleep(10);
  }
  if (hasTrouble) {
    machines.forEach(({id, relay}) => {
      const count = relay.silenceOpen();
      record.add(`${count} connections of ${id} to the store are silent now`);
    });
  }
  const silencedAtMs = record.nowMs;
  await sleep(REVOKE_AFTER_MS);
  write('00000002', [KEPT_KEY]);
  const boundAtMs = Math.max(
    record.nowMs + BOUNDS.configApplyMs,
    silencedAtMs + BOUNDS.contactMs,
  );
  await sleep(boundAtMs + MARGIN_MS - record.nowMs);
  record.add('all machines are in touch, and the change is due');
  const breaches: string[] = [];
  for (let ask = 1; ask <= ASKS; ask += 1) {
    const answers = machines.flatMap(({id, daemon}) =>
      [KEPT_KEY, REVOKED_KEY].map(async key => {
        const attempt = `${id}-${key}-${ask}`;
        const sent = {
          to: daemon.callers,
          id: attempt,
          method: 'GET',
          path: '/safe/1',
          key,
          deadlineMs: 2500,
        } as const;
        await sendRequest(sent, record);
        const hasRun = machines.some(({instance}) =>
          instance.runs.some(run => run.id === attempt),
        );
        if (key === REVOKED_KEY && hasRun) {
          breaches.push(`${attempt} ran with a key that was taken away`);
        }
        if (key === KEPT_KEY && !hasRun) throw new Error('not served');
      }),
    );
    await Promise.all(answers);
    await sleep(ASK_INTERVAL_MS);
  }
  return breaches;
}

/** `TROUBLE=0` plays the same without the disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

void runCase(play, hasTrouble);
