/**
 * The processes of a mesh soak: daemons as the platform starts them, and
 * workers beside them. A daemon that ends by itself is recorded and started
 * again after a delay, as the platform does.
 */
import {fork, spawn, type ChildProcess} from 'node:child_process';
import {
  closeSync,
  openSync,
  readdirSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {daemonNodeArgs} from '../../features/support/deploy_file.js';
import {addressOf, type Listener, type SoakVm} from './fleet_plan.js';
import type {Command, Reply} from './worker.js';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const PROGRAM = path.join(ROOT, 'target', 'daemon.cjs');
/** Sets the limit of descriptors and becomes the daemon. */
const LIMIT_SCRIPT = 'ulimit -n "$0" && exec "$@"';
const RESTART_DELAY_MS = 1000;
const READY_POLL_MS = 250;
const POLL_TIMEOUT_MS = 2000;
const USAGE_INTERVAL_MS = 1000;
const CLOCK_TICK_MS = 10;

/** How a soak starts daemons. */
export interface DaemonOptions {
  /** Where logs and settings of the daemons are kept. */
  readonly folder: string;
  readonly storeAddress: string;
  /** Open descriptors that each process may have. */
  readonly maxDescriptors: number;
}

/** One start of a daemon's process. */
export interface Start {
  readonly vm: string;
  /** On the monotonic clock. */
  readonly startedAtMs: number;
  /** From its start until it was ready; undefined if it never was. */
  readyAfterMs: number | undefined;
  /** From its start until it ended; undefined while it runs. */
  endedAfterMs: number | undefined;
}

/** A daemon whose process ended without a signal of the soak. */
export interface OwnEnd {
  readonly vm: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** After the start of its process. */
  readonly afterMs: number;
}

/** A worker that handles one command at a time. */
export class Worker {
  readonly #child = fork(path.join(import.meta.dirname, 'worker.ts'), {
    execArgv: ['--import', 'tsx'],
  });

  ask(command: Command): Promise<Reply> {
    return new Promise(resolve => {
      this.#child.once('message', reply => resolve(reply as Reply));
      this.#child.send(command);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  stop(): void {
    this.#child.kill('SIGKILL');
  }
}

/** The daemon of one VM, over all its starts. */
export class SoakDaemon {
  /** From its next start on, the daemon is that of this VM. */
  vm: SoakVm;
  readonly ownEnds: OwnEnd[] = [];
  readonly starts: Start[] = [];
  /** Highest resident memory of all its processes, in megabytes. */
  peakMemoryMb = 0;
  /** Most descriptors that were open, as seen once a second. */
  peakDescriptors = 0;
  readonly #options: DaemonOptions;
  #child: ChildProcess | undefined;
  #isWanted = false;

  constructor(vm: SoakVm, options: DaemonOptions) {
    this.vm = vm;
    this.#options = options;
  }

  start(isFirstStart = false): void {
    const {folder, maxDescriptors} = this.#options;
    const settingsFile = path.join(folder, `${this.vm.id}.json`);
    this.#writeSettings(settingsFile, isFirstStart);
    this.#isWanted = true;
    const log = openSync(path.join(folder, `${this.vm.id}.log`), 'a');
    const child = spawn(
      '/bin/sh',
      [
        '-c',
        LIMIT_SCRIPT,
        String(maxDescriptors),
        process.execPath,
        ...daemonNodeArgs(),
        PROGRAM,
        '--settings',
        settingsFile,
      ],
      {stdio: ['ignore', log, log], env: {PATH: process.env.PATH}},
    );
    closeSync(log);
    const start: Start = {
      vm: this.vm.id,
      startedAtMs: performance.now(),
      readyAfterMs: undefined,
      endedAfterMs: undefined,
    };
    this.starts.push(start);
    this.#child = child;
    child.on('exit', (code, signal) => {
      const endedAfterMs = performance.now() - start.startedAtMs;
      start.endedAfterMs = endedAfterMs;
      this.#onExit(child, {
        vm: start.vm,
        code,
        signal,
        afterMs: Math.round(endedAfterMs),
      });
    });
    void this.#watchReadiness(child, start);
    void this.#watchUsage(child);
  }

  /** From the last start until it was ready; undefined until then. */
  get readyAfterMs(): number | undefined {
    return this.starts.at(-1)?.readyAfterMs;
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Ends the process; resolves when it has ended. */
  async end(signal: NodeJS.Signals): Promise<void> {
    this.#isWanted = false;
    const child = this.#child;
    if (!child || hasEnded(child)) return;
    this.#recordUsage(child);
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill(signal);
    await ended;
  }

  /** Processor time of the current process, in milliseconds. */
  get processorMs(): number {
    const text = readProc(this.#child?.pid, 'stat');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[11] ?? 0) + Number(fields[12] ?? 0);
    return ticks * CLOCK_TICK_MS;
  }

  /** The metrics page; undefined if the daemon doesn't answer. */
  async metrics(): Promise<string | undefined> {
    const page = await fetchPage(this.vm, 'metrics', '/metrics');
    return page?.status === 200 ? page.text : undefined;
  }

  #writeSettings(file: string, isFirstStart: boolean): void {
    const {vm} = this;
    const listeners = [
      'callers',
      'readiness',
      'announcements',
      'peers',
      'metrics',
    ] as const satisfies readonly Listener[];
    const settings = {
      vm: {id: vm.id, failureDomain: vm.failureDomain},
      listen: Object.fromEntries(
        listeners.map(name => [name, addressOf(vm, name)]),
      ),
      backend: {address: addressOf(vm, 'backend'), service: vm.service},
      store: {address: this.#options.storeAddress},
      isFirstStart,
      stopTimeoutS: 6,
      repeats: {ratio: 0.2, windowS: 10, slack: 204},
    };
    writeFileSync(file, JSON.stringify(settings));
  }

  #onExit(child: ChildProcess, end: OwnEnd): void {
    if (child !== this.#child || !this.#isWanted) return;
    this.ownEnds.push(end);
    setTimeout(() => {
      if (this.#isWanted && child === this.#child) this.start();
    }, RESTART_DELAY_MS);
  }

  async #watchReadiness(child: ChildProcess, start: Start): Promise<void> {
    while (child === this.#child && !hasEnded(child)) {
      const page = await fetchPage(this.vm, 'readiness', '/');
      if (page?.status === 200 && child === this.#child && !hasEnded(child)) {
        start.readyAfterMs = performance.now() - start.startedAtMs;
        return;
      }
      await sleep(READY_POLL_MS);
    }
  }

  async #watchUsage(child: ChildProcess): Promise<void> {
    while (child === this.#child && !hasEnded(child)) {
      this.#recordUsage(child);
      await sleep(USAGE_INTERVAL_MS);
    }
  }

  #recordUsage({pid}: ChildProcess): void {
    const [, kB = 0] = /VmHWM:\s+(\d+) kB/.exec(readProc(pid, 'status')) ?? [];
    this.peakMemoryMb = Math.max(this.peakMemoryMb, Number(kB) / 1024);
    this.peakDescriptors = Math.max(
      this.peakDescriptors,
      countDescriptors(pid),
    );
  }
}

function readProc(pid: number | undefined, file: string): string {
  try {
    return readFileSync(`/proc/${pid}/${file}`, 'utf8');
  } catch {
    // The process has just ended.
    return '';
  }
}

function countDescriptors(pid: number | undefined): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    // The process has just ended.
    return 0;
  }
}

function hasEnded({exitCode, signalCode}: ChildProcess): boolean {
  return exitCode !== null || signalCode !== null;
}

interface Page {
  readonly status: number | undefined;
  readonly text: string;
}

function fetchPage(
  vm: SoakVm,
  listener: Listener,
  pagePath: string,
): Promise<Page | undefined> {
  const url = `http://${addressOf(vm, listener)}${pagePath}`;
  return new Promise(resolve => {
    const req = get(url, {agent: false, timeout: POLL_TIMEOUT_MS}, res => {
      let text = '';
      res.setEncoding('utf8');
      res.on('data', (chunk: string) => (text += chunk));
      res.on('end', () => resolve({status: res.statusCode, text}));
      res.on('error', () => resolve(undefined));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => resolve(undefined));
  });
}
