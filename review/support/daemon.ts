/** A daemon of the deploy file as a process of its own. */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, readFileSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

/** The bounds of the site that the daemons get with their settings. */
export const BOUNDS = {
  contactMs: 3000,
  drainMs: 2000,
  graceS: 6,
  configApplyMs: 2000,
  retryBudgetRatio: 0.2,
  retryWindowS: 10,
  retryBudgetSlack: 60,
} as const;

export interface DaemonOptions {
  readonly id: string;
  readonly zone: string;
  readonly service: string;
  /** Address of the instance on the same machine. */
  readonly instance: string;
  readonly store: string;
  /** Folder for settings and logs. */
  readonly folder: string;
}

const REPOSITORY = path.resolve(process.cwd());
const START_TIMEOUT_MS = 20_000;
const FIRST_PORT = 10_000;
const PORTS = 22_000;

export class Daemon {
  readonly callers: string;
  readonly readiness: string;
  readonly control: string;
  readonly #settingsFile: string;
  readonly #logFile: string;
  #child: ChildProcess | undefined;

  private constructor(
    options: DaemonOptions,
    addresses: readonly [string, string, string, string, string],
  ) {
    const [callers, readiness, announcements, peers, metrics] = addresses;
    this.callers = callers;
    this.readiness = readiness;
    this.control = announcements;
    const {id, zone, service, instance, store, folder} = options;
    this.#settingsFile = path.join(folder, `${id}.json`);
    this.#logFile = path.join(folder, `${id}.log`);
    const settings = {
      vm: {id, failureDomain: zone},
      listen: {callers, readiness, announcements, peers, metrics},
      backend: {address: instance, service},
      store: {address: store},
      isFirstStart: false,
      stopTimeoutS: BOUNDS.graceS,
      repeats: {
        ratio: BOUNDS.retryBudgetRatio,
        windowS: BOUNDS.retryWindowS,
        slack: BOUNDS.retryBudgetSlack,
      },
    };
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
  }

  static async create(options: DaemonOptions): Promise<Daemon> {
    const addresses = [
      await freeAddress(),
      await freeAddress(),
      await freeAddress(),
      await freeAddress(),
      await freeAddress(),
    ] as const;
    return new Daemon(options, addresses);
  }

  get pid(): number {
    return this.#child?.pid ?? 0;
  }

  /** Starts the process; resolves when it says that it is ready. */
  async start(): Promise<void> {
    const log = createWriteStream(this.#logFile, {flags: 'a'});
    const args = ['--max-old-space-size=158', 'target/daemon.cjs'];
    const child = spawn('node', [...args, '--settings', this.#settingsFile], {
      cwd: REPOSITORY,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {PATH: process.env.PATH, HOME: process.env.HOME},
    });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    this.#child = child;
    const endMs = performance.now() + START_TIMEOUT_MS;
    while (!(await this.isReady())) {
      const hasEnded = child.exitCode !== null || child.signalCode !== null;
      if (hasEnded || performance.now() > endMs) {
        const lines = readFileSync(this.#logFile, 'utf8').trim().split('\n');
        throw new Error(`daemon is not ready: ${lines.slice(-2).join(' ')}`);
      }
      await sleep(20);
    }
  }

  /** Asks for readiness once, as the platform does. */
  async isReady(): Promise<boolean> {
    try {
      return (await fetch(`http://${this.readiness}/readiness`)).status === 200;
    } catch {
      return false;
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Sends a signal and waits for the end of the process. */
  async end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = once(child, 'exit');
    child.kill(signal);
    await ended;
  }
}

/**
 * A port below the range from which the system gives out ports, so that nothing
 * else takes it before the daemon listens or while it is down.
 */
async function freeAddress(): Promise<string> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
  const server = createServer();
  try {
    const listening = once(server, 'listening');
    server.listen(port, '127.0.0.1');
    await listening;
  } catch {
    // The port is taken.
    return freeAddress();
  }
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
}
