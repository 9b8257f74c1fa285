/**
 * A mesh soak: as many real daemons as a deployment has VMs, with a store,
 * instances and callers in processes of their own. One trouble affects the whole
 * fleet while the callers go on. The responses to the callers of each daemon
 * afterwards show whether any of them are starved.
 */
import {mkdirSync} from 'node:fs';
import {loadavg} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import type {Answer} from './callers.js';
import {planFleet, type FleetOptions, type SoakVm} from './fleet_plan.js';
import {sampleMetrics, type MetricsSample} from './metrics_sample.js';
import {SoakDaemon, Worker, type OwnEnd, type Start} from './processes.js';
import {findBrokenRules} from './soak_rules.js';
import {TROUBLES, type Fleet, type TroubleName} from './troubles.js';

/** Options of {@link soakMesh}. */
export interface MeshSoakOptions extends FleetOptions {
  readonly trouble: TroubleName;
  /** How long the callers go on after the trouble. */
  readonly seconds: number;
  /** Where logs and settings of the daemons are kept. */
  readonly folder: string;
  /** Resident memory that no daemon may exceed, in megabytes. */
  readonly memoryMb: number;
  /** Descriptors that a daemon may open. */
  readonly maxDescriptors: number;
  /** One process runs the store and all instances. */
  readonly hasBusyStore: boolean;
}

/** What callers saw in one part of the time after the trouble. */
export interface Window {
  readonly fromS: number;
  readonly sent: number;
  readonly served: number;
  /** Daemons of whose callers none was served. */
  readonly starvedDaemons: number;
  readonly uploadsSent: number;
  readonly uploadsServed: number;
}

/** What a run showed. */
export interface MeshSoakResult {
  readonly trouble: TroubleName;
  readonly daemons: number;
  /** Load average over a minute before the first start. */
  readonly loadBefore: number;
  readonly firstStart: StartTimes;
  readonly lastStart: StartTimes;
  readonly servedBefore: number;
  /**
   * Requests that were sent after the trouble, as a part of those due: far below
   * 1, the machine was too busy for the callers themselves.
   */
  readonly sentShare: number;
  readonly windows: readonly Window[];
  readonly samples: readonly MetricsSample[];
  /** All starts together, beside those that were ended before they were ready. */
  readonly starts: StartTimes;
  readonly ownEnds: readonly OwnEnd[];
  /** Of the daemon with most, over all its processes. */
  readonly peakMemoryMb: number;
  readonly peakDescriptors: number;
  /** Of the daemons' current processes. */
  readonly meanProcessorMs: number;
  /** Responses after the trouble, by status; 0 counts those without one. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Empty if the run is good. */
  readonly brokenRules: readonly string[];
}

/** Times from the start of the processes until they were ready. */
interface StartTimes {
  readonly notReady: number;
  readonly medianMs: number;
  readonly maxMs: number;
}

const VMS_PER_WORKER = 24;
const MAX_START_MS = 60_000;
const POLL_MS = 200;
/** Callers that the daemons serve before the trouble begins. */
const BASELINE_MS = 10_000;
const WINDOW_MS = 5000;
const SAMPLE_INTERVAL_MS = 10_000;

/** Plays one trouble; ends every process that it started. */
export async function soakMesh(
  options: MeshSoakOptions,
): Promise<MeshSoakResult> {
  mkdirSync(options.folder, {recursive: true});
  const [loadBefore = 0] = loadavg();
  const vms = planFleet(options);
  const parts = partsOf(vms);
  const store = new Worker();
  const instanceParts = options.hasBusyStore ? [vms] : parts;
  const instanceWorkers = options.hasBusyStore
    ? [store]
    : parts.map(() => new Worker());
  const callerWorkers = parts.map(() => new Worker());
  const {address: storeAddress = ''} = await store.ask({kind: 'store'});
  await store.ask({kind: 'configure', version: '1', options});
  const daemonOptions = {...options, storeAddress};
  const daemons = vms.map(vm => new SoakDaemon(vm, daemonOptions));
  try {
    await askAll(instanceWorkers, instanceParts, vms => ({
      kind: 'instances',
      vms,
      options,
    }));
    daemons.forEach(daemon => daemon.start(true));
    await untilReady(daemons);
    const firstStart = startTimesOf(daemons);
    await askAll(callerWorkers, parts, vms => ({
      kind: 'callers',
      vms,
      options,
    }));
    await sleep(BASELINE_MS);
    const beginsAtUnixMs = Date.now();
    const fleet: Fleet = {daemons, store, instanceWorkers, options};
    await TROUBLES[options.trouble](fleet);
    const endsAtUnixMs = Date.now();
    const samples = await collectSamples(daemons, options.seconds * 1000);
    const replies = await Promise.all(
      callerWorkers.map(worker => worker.ask({kind: 'answers'})),
    );
    const answers = replies.flatMap(reply => reply.answers ?? []);
    const before = answers.filter(a => a.sentAtUnixMs < beginsAtUnixMs);
    const after = answers.filter(a => a.sentAtUnixMs >= endsAtUnixMs);
    const served = before.filter(isServed).length;
    const windows = windowsOf(answers, vms, endsAtUnixMs, options.seconds);
    return {
      trouble: options.trouble,
      daemons: options.daemons,
      loadBefore: round(loadBefore),
      firstStart,
      lastStart: startTimesOf(daemons),
      servedBefore: round(served / before.length),
      sentShare: round(
        sum(windows.map(({sent}) => sent)) /
          (options.daemons * options.requestsPerS * options.seconds),
      ),
      windows,
      samples,
      starts: timesOf(daemons.flatMap(({starts}) => starts)),
      ownEnds: daemons.flatMap(({ownEnds}) => ownEnds),
      peakMemoryMb: Math.max(...daemons.map(d => Math.round(d.peakMemoryMb))),
      peakDescriptors: Math.max(...daemons.map(d => d.peakDescriptors)),
      meanProcessorMs: Math.round(
        sum(daemons.map(({processorMs}) => processorMs)) / daemons.length,
      ),
      statuses: countBy(after, ({status}) => status),
      brokenRules: findBrokenRules({
        daemons,
        windows,
        memoryMb: options.memoryMb,
      }),
    };
  } finally {
    await Promise.all(daemons.map(daemon => daemon.end('SIGKILL')));
    [store, ...instanceWorkers, ...callerWorkers].forEach(w => w.stop());
  }
}

function partsOf(vms: readonly SoakVm[]): readonly (readonly SoakVm[])[] {
  const count = Math.ceil(vms.length / VMS_PER_WORKER);
  return Array.from({length: count}, (_, part) =>
    vms.filter(({index}) => index % count === part),
  );
}

async function askAll(
  workers: readonly Worker[],
  parts: readonly (readonly SoakVm[])[],
  commandFor: (vms: readonly SoakVm[]) => Parameters<Worker['ask']>[0],
): Promise<void> {
  await Promise.all(
    workers.map((worker, part) => worker.ask(commandFor(parts[part] ?? []))),
  );
}

/** Waits until all daemons are ready, or for the longest time of a start. */
async function untilReady(daemons: readonly SoakDaemon[]): Promise<void> {
  const endMs = performance.now() + MAX_START_MS;
  const isComplete = () => daemons.every(d => d.readyAfterMs !== undefined);
  while (!isComplete() && performance.now() < endMs) await sleep(POLL_MS);
}

/** Reads the metrics at intervals until the time is over. */
async function collectSamples(
  daemons: readonly SoakDaemon[],
  forMs: number,
): Promise<readonly MetricsSample[]> {
  const startMs = performance.now();
  const samples: MetricsSample[] = [];
  const sinceMs = () => performance.now() - startMs;
  while (sinceMs() + SAMPLE_INTERVAL_MS <= forMs) {
    await sleep(SAMPLE_INTERVAL_MS);
    samples.push(await sampleMetrics(daemons, round(sinceMs() / 1000)));
  }
  await sleep(Math.max(0, forMs - sinceMs()));
  return samples;
}

function startTimesOf(daemons: readonly SoakDaemon[]): StartTimes {
  return timesOf(daemons.flatMap(({starts}) => starts.at(-1) ?? []));
}

function timesOf(starts: readonly Start[]): StartTimes {
  const times = starts
    .flatMap(({readyAfterMs}) => readyAfterMs ?? [])
    .toSorted((a, b) => a - b)
    .map(Math.round);
  const isWaiting = ({readyAfterMs, endedAfterMs}: Start) =>
    readyAfterMs === undefined && endedAfterMs === undefined;
  return {
    notReady: starts.filter(isWaiting).length,
    medianMs: times[Math.floor(times.length / 2)] ?? 0,
    maxMs: times.at(-1) ?? 0,
  };
}

function windowsOf(
  answers: readonly Answer[],
  vms: readonly SoakVm[],
  fromUnixMs: number,
  seconds: number,
): readonly Window[] {
  const count = Math.floor((seconds * 1000) / WINDOW_MS);
  return Array.from({length: count}, (_, index) => {
    const startMs = fromUnixMs + index * WINDOW_MS;
    const inWindow = answers.filter(
      ({sentAtUnixMs: atMs}) => atMs >= startMs && atMs < startMs + WINDOW_MS,
    );
    const sent = inWindow.filter(({isUpload}) => !isUpload);
    const uploads = inWindow.filter(({isUpload}) => isUpload);
    const served = sent.filter(isServed);
    const servedVms = new Set(served.map(({vm}) => vm));
    return {
      fromS: (index * WINDOW_MS) / 1000,
      sent: sent.length,
      served: round(served.length / Math.max(1, sent.length)),
      starvedDaemons: vms.length - servedVms.size,
      uploadsSent: uploads.length,
      uploadsServed: uploads.filter(isServed).length,
    };
  });
}

function isServed({status}: Answer): boolean {
  return status === 200;
}

function countBy<Value>(
  values: readonly Value[],
  keyOf: (value: Value) => number,
): Readonly<Record<string, number>> {
  return values.reduce<Record<string, number>>((counts, value) => {
    const key = String(keyOf(value));
    return {...counts, [key]: (counts[key] ?? 0) + 1};
  }, {});
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}
