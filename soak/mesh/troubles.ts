/** What a mesh soak does to a whole fleet at once. */
import {setTimeout as sleep} from 'node:timers/promises';
import {successorOf, type FleetOptions} from './fleet_plan.js';
import type {SoakDaemon, Worker} from './processes.js';

/** The processes that a trouble affects. */
export interface Fleet {
  readonly daemons: readonly SoakDaemon[];
  readonly store: Worker;
  readonly instanceWorkers: readonly Worker[];
  readonly options: FleetOptions;
}

const RESTART_DELAY_MS = 1000;
const PAUSE_MS = 9000;
const SERIES_LENGTH = 3;
const SERIES_INTERVAL_MS = 5000;
/** Restarts that overlap: a third of the daemons each time, in turn. */
const OVERLAPPING_RESTARTS = 9;
const OVERLAP_INTERVAL_MS = 1500;
const OVERLAP_PARTS = 3;
const HANGUPS = 10;
const HANGUP_INTERVAL_MS = 300;
/** A start has got past the runtime's own part after this time. */
const FIRST_HANGUP_MS = 1000;
const STOP_GROUPS = 8;
const STOP_INTERVAL_MS = 1300;
const VERSIONS = 10;
const VERSION_INTERVAL_MS = 300;
/** How long the store is away before it comes back from a copy. */
const RESTORE_DELAY_MS = 2000;
const STOPPED_INSTANCES_SHARE = 1 / 3;
/** Of so many VMs, one passes its address to another. */
const VMS_PER_SUCCESSOR = 3;

/** Ends these daemons at the same moment and starts them again. */
async function restart(daemons: readonly SoakDaemon[]): Promise<void> {
  await Promise.all(daemons.map(daemon => daemon.end('SIGKILL')));
  await sleep(RESTART_DELAY_MS);
  daemons.forEach(daemon => daemon.start());
}

async function stopAndStart(daemon: SoakDaemon): Promise<void> {
  await daemon.end('SIGTERM');
  daemon.start();
}

/** One of `count` parts of the daemons. */
function partOf(
  daemons: readonly SoakDaemon[],
  part: number,
  count: number,
): readonly SoakDaemon[] {
  return daemons.filter((_, index) => index % count === part % count);
}

function hangUp({daemons}: Fleet): Promise<void> {
  return repeat(HANGUPS, HANGUP_INTERVAL_MS, () =>
    daemons.forEach(daemon => daemon.signal('SIGHUP')),
  );
}

async function repeat(
  times: number,
  intervalMs: number,
  act: (index: number) => unknown,
): Promise<void> {
  for (let index = 0; index < times; index += 1) {
    await act(index);
    await sleep(intervalMs);
  }
}

/** Starts an action at intervals, also while those before it go on. */
async function overlap(
  times: number,
  intervalMs: number,
  act: (index: number) => Promise<void>,
): Promise<void> {
  const actions: Promise<void>[] = [];
  await repeat(times, intervalMs, index => {
    actions.push(act(index));
  });
  await Promise.all(actions);
}

/** The troubles by name; each resolves when it is over. */
export const TROUBLES = {
  none: () => Promise.resolve(),
  'kill-all': ({daemons}) => restart(daemons),
  'kill-all-in-series': ({daemons}) =>
    repeat(SERIES_LENGTH, SERIES_INTERVAL_MS, () => restart(daemons)),
  'restarts-overlap': ({daemons}) =>
    overlap(OVERLAPPING_RESTARTS, OVERLAP_INTERVAL_MS, part =>
      restart(partOf(daemons, part, OVERLAP_PARTS)),
    ),
  'pause-all': async ({daemons}) => {
    daemons.forEach(daemon => daemon.signal('SIGSTOP'));
    await sleep(PAUSE_MS);
    daemons.forEach(daemon => daemon.signal('SIGCONT'));
  },
  'stop-half': async ({daemons}) => {
    await Promise.all(partOf(daemons, 0, 2).map(stopAndStart));
  },
  'stop-in-turn': ({daemons}) =>
    overlap(STOP_GROUPS, STOP_INTERVAL_MS, async part => {
      const group = partOf(daemons, part, STOP_GROUPS);
      await Promise.all(group.map(stopAndStart));
    }),
  'hang-up-all': hangUp,
  'hang-up-during-start': async fleet => {
    await restart(fleet.daemons);
    await sleep(FIRST_HANGUP_MS);
    await hangUp(fleet);
  },
  'new-versions': ({store, options}) =>
    repeat(VERSIONS, VERSION_INTERVAL_MS, index =>
      store.ask({kind: 'configure', version: `${index + 2}`, options}),
    ),
  'store-paused': async ({store}) => {
    store.signal('SIGSTOP');
    await sleep(PAUSE_MS);
    store.signal('SIGCONT');
  },
  'store-restored': async ({store}) => {
    await store.ask({kind: 'keepCopy'});
    await sleep(RESTORE_DELAY_MS);
    await store.ask({kind: 'restoreCopy'});
  },
  'instances-stop': async ({instanceWorkers}) => {
    const share = STOPPED_INSTANCES_SHARE;
    const command = {kind: 'stopInstances', share} as const;
    await Promise.all(instanceWorkers.map(worker => worker.ask(command)));
  },
  'addresses-reused': async ({daemons, instanceWorkers}) => {
    const leaving = partOf(daemons, 0, VMS_PER_SUCCESSOR);
    const successors = leaving.map(({vm}) => successorOf(vm));
    const command = {kind: 'replaceInstances', successors} as const;
    await Promise.all([
      ...instanceWorkers.map(worker => worker.ask(command)),
      ...leaving.map(daemon => daemon.end('SIGTERM')),
    ]);
    leaving.forEach((daemon, index) => {
      daemon.vm = successors[index] ?? daemon.vm;
      daemon.start();
    });
  },
} as const satisfies Readonly<Record<string, (fleet: Fleet) => Promise<void>>>;

/** The name of a trouble. */
export type TroubleName = keyof typeof TROUBLES;
