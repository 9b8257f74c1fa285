/** What a mesh soak does to a whole fleet at once. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {SoakDaemon, Worker} from './processes.js';

/** The processes that a trouble affects. */
export interface Fleet {
  readonly daemons: readonly SoakDaemon[];
  readonly store: Worker;
  readonly instanceWorkers: readonly Worker[];
}

const RESTART_DELAY_MS = 1000;
const PAUSE_MS = 9000;
const SERIES_LENGTH = 3;
const SERIES_INTERVAL_MS = 5000;
const HANGUPS = 10;
const HANGUP_INTERVAL_MS = 300;
const VERSIONS = 10;
const VERSION_INTERVAL_MS = 300;
/** How long the store is away before it comes back from a copy. */
const RESTORE_DELAY_MS = 2000;
const STOPPED_INSTANCES_SHARE = 1 / 3;

/** Ends all daemons at the same moment and starts them again. */
async function restartAll({daemons}: Fleet): Promise<void> {
  await Promise.all(daemons.map(daemon => daemon.end('SIGKILL')));
  await sleep(RESTART_DELAY_MS);
  daemons.forEach(daemon => daemon.start());
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

/** The troubles by name; each resolves when it is over. */
export const TROUBLES = {
  none: () => Promise.resolve(),
  'kill-all': restartAll,
  'kill-all-in-series': fleet =>
    repeat(SERIES_LENGTH, SERIES_INTERVAL_MS, () => restartAll(fleet)),
  'pause-all': async ({daemons}) => {
    daemons.forEach(daemon => daemon.signal('SIGSTOP'));
    await sleep(PAUSE_MS);
    daemons.forEach(daemon => daemon.signal('SIGCONT'));
  },
  'stop-in-turn': async ({daemons}) => {
    const half = daemons.filter((_, index) => index % 2 === 0);
    await Promise.all(
      half.map(async daemon => {
        await daemon.end('SIGTERM');
        daemon.start();
      }),
    );
  },
  'hang-up-all': ({daemons}) =>
    repeat(HANGUPS, HANGUP_INTERVAL_MS, () =>
      daemons.forEach(daemon => daemon.signal('SIGHUP')),
    ),
  'new-versions': ({store}) =>
    repeat(VERSIONS, VERSION_INTERVAL_MS, index =>
      store.ask({kind: 'configure', version: `${index + 2}`}),
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
} as const satisfies Readonly<Record<string, (fleet: Fleet) => Promise<void>>>;

/** The name of a trouble. */
export type TroubleName = keyof typeof TROUBLES;
