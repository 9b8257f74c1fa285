/**
 * The processes of a mesh soak: daemons as the platform starts them, and
 * workers beside them. A daemon that ends by itself is recorded and started
 * again after a delay, as the platform does.
 */
import {fork, spawn, type ChildProcess} from 'node:child_process';
import {openSync, readFileSync, writeFileSync} from 'node:fs';
import {get} from 'node:http';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {addressOf, type Listener, type SoakVm} from './fleet_plan.js';
import type {Command, Reply} from './worker.js';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const PROGRAM = path.join(ROOT, 'target', 'daemon.cjs');
/** As in deploy/system.toml. */
const HEAP_LIMIT_MB = 158;
const RESTART_DELAY_MS = 1000;
const READY_POLL_MS = 250;
const POLL_TIMEOUT_MS = 2000;
const CLOCK_TICK_MS = 10;

/** A daemon that ended without being told to. */
export interface OwnEnd {
  readonly vm: string;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
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
  readonly vm: SoakVm;
  readonly ownEnds: OwnEnd[] = [];
  readonly #settingsFile: string;
  readonly #logFile: string;
  readonly #storeAddress: string;
  #child: ChildProcess | undefined;
  #isWanted = false;
  #startedAtMs = 0;
  /** From the last start until it was ready; undefined until then. */
  readyAfterMs: number | undefined;

  constructor(vm: SoakVm, folder: string, storeAddress: string) {
    this.vm = vm;
    this.#settingsFile = path.join(folder, `${vm.id}.json`);
    this.#logFile = path.join(folder, `${vm.id}.log`);
    this.#storeAddress = storeAddress;
  }

  start(isFirstStart = false): void {
    this.#writeSettings(isFirstStart);
    this.#isWanted = true;
    const log = openSync(this.#logFile, 'a');
    const child = spawn(
      process.execPath,
      [
        `--max-old-space-size=${HEAP_LIMIT_MB}`,
        PROGRAM,
        '--settings',
        this.#settingsFile,
      ],
      {stdio: ['ignore', log, log], env: {PATH: process.env.PATH}},
    );
    this.#child = child;
    this.#startedAtMs = performance.now();
    this.readyAfterMs = undefined;
    child.on('exit', (code, signal) => this.#onExit(child, code, signal));
    void this.#watchReadiness(child);
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Ends the process; resolves when it has ended. */
  async end(signal: NodeJS.Signals): Promise<void> {
    this.#isWanted = false;
    const child = this.#child;
    if (!child || hasEnded(child)) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill(signal);
    await ended;
  }

  /** Processor time of the current process, in milliseconds. */
  get processorMs(): number {
    const text = this.#readProc('stat');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[11] ?? 0) + Number(fields[12] ?? 0);
    return ticks * CLOCK_TICK_MS;
  }

  /** Highest resident memory of the current process, in megabytes. */
  get peakMemoryMb(): number {
    const [, kB = 0] = /VmHWM:\s+(\d+) kB/.exec(this.#readProc('status')) ?? [];
    return Number(kB) / 1024;
  }

  /** The metrics page; undefined if the daemon doesn't answer. */
  async metrics(): Promise<string | undefined> {
    const page = await fetchPage(this.vm, 'metrics', '/metrics');
    return page?.status === 200 ? page.text : undefined;
  }

  #writeSettings(isFirstStart: boolean): void {
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
      store: {address: this.#storeAddress},
      isFirstStart,
      stopTimeoutS: 6,
      repeats: {ratio: 0.2, windowS: 10, slack: 204},
    };
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
  }

  #onExit(
    child: ChildProcess,
    code: number | null,
    signal: NodeJS.Signals | null,
  ): void {
    if (child !== this.#child || !this.#isWanted) return;
    this.ownEnds.push({vm: this.vm.id, code, signal});
    setTimeout(() => {
      if (this.#isWanted && child === this.#child) this.start();
    }, RESTART_DELAY_MS);
  }

  async #watchReadiness(child: ChildProcess): Promise<void> {
    while (child === this.#child && !hasEnded(child)) {
      const page = await fetchPage(this.vm, 'readiness', '/');
      if (page?.status === 200 && child === this.#child) {
        this.readyAfterMs = performance.now() - this.#startedAtMs;
        return;
      }
      await sleep(READY_POLL_MS);
    }
  }

  #readProc(file: string): string {
    try {
      return readFileSync(`/proc/${this.#child?.pid}/${file}`, 'utf8');
    } catch {
      // The process has just ended.
      return '';
    }
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
