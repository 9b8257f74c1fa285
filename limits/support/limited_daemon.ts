/**
 * A daemon of the platform's build in a process of its own. Samples its memory
 * and its open descriptors.
 */
import {mkdtempSync, readdirSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {daemonNodeArgs} from '../../features/support/deploy_file.js';
import {until} from '../../features/support/fleet.js';
import {freeAddress} from '../../features/support/ports.js';
import {TestProcess} from '../../features/support/process.js';
import type {Listens} from './platform_crowd.js';

/** Memory and descriptors of the VM, as the daemon's settings say. */
export interface Resources {
  readonly memoryMb: number;
  readonly maxDescriptors: number;
}

/** The VM of a daemon. */
export interface LimitedVm {
  readonly id: string;
  readonly resources: Resources;
  /** `IP:PORT` of the store. */
  readonly store: string;
  /** The instance beside the daemon; it may not be there. */
  readonly backend: {readonly address: string; readonly service: string};
}

/** The host of all routes. */
export const HOST = 'app.example';

const READY_TIMEOUT_MS = 10_000;
const SAMPLE_INTERVAL_MS = 50;
/** An ordinary caller waits this long for its response. */
const ORDINARY_DEADLINE_MS = 15_000;
/** A slow reader reads this much at a time: 54 KB/s, 10 s for 540 KB. */
const SLOW_READ_BYTES = 13_500;
const SLOW_READ_INTERVAL_MS = 250;

/** A daemon whose memory and descriptors are watched. */
export class LimitedDaemon {
  readonly listens: Listens;
  readonly process: TestProcess;
  readonly #folder: string;
  readonly #sampling: NodeJS.Timeout;
  #peakDescriptors = 0;
  #peakMemoryMb = 0;

  private constructor(listens: Listens, process: TestProcess, folder: string) {
    this.listens = listens;
    this.process = process;
    this.#folder = folder;
    this.#sampling = setInterval(() => this.#sample(), SAMPLE_INTERVAL_MS);
  }

  /** Starts a daemon, and waits until it is ready. */
  static async start(vm: LimitedVm): Promise<LimitedDaemon> {
    const {id, resources, store, backend} = vm;
    const listens = {
      callers: await freeAddress(),
      readiness: await freeAddress(),
      announcements: await freeAddress(),
      peers: await freeAddress(),
      metrics: await freeAddress(),
    };
    const settings = {
      vm: {id, failureDomain: 'a'},
      listen: listens,
      backend,
      store: {address: store},
      isFirstStart: false,
      stopTimeoutS: 6,
      repeats: {ratio: 0.2, windowS: 10, slack: 60},
      resources,
    };
    const folder = mkdtempSync(path.join(tmpdir(), 'mesh-limits-'));
    const file = path.join(folder, 'settings.json');
    writeFileSync(file, JSON.stringify(settings));
    const process = await TestProcess.start({
      script: 'target/daemon.cjs',
      nodeArgs: daemonNodeArgs(),
      args: ['--settings', file],
    });
    const daemon = new LimitedDaemon(listens, process, folder);
    const isReady = async () =>
      (await fetch(`http://${listens.readiness}/`)).status === 200;
    try {
      await until('the daemon is ready', isReady, READY_TIMEOUT_MS);
    } catch (err) {
      await daemon.stop();
      throw err;
    }
    return daemon;
  }

  /** Resolves once the daemon serves requests. */
  async waitUntilServing(): Promise<void> {
    const isServing = async () => (await this.sendOrdinary()) === 200;
    await until('it serves', isServing, READY_TIMEOUT_MS);
  }

  get peakMemoryMb(): number {
    return this.#peakMemoryMb;
  }

  get peakDescriptors(): number {
    return this.#peakDescriptors;
  }

  /** Sends a request; resolves to its status, or 0 without a response. */
  sendOrdinary(
    body: Buffer | string = 'body',
    fields: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    const [host, port] = this.listens.callers.split(':');
    const headers = {
      host: HOST,
      [NAMES.requestId]: `ordinary-${Math.random()}`,
      [NAMES.deadline]: String(ORDINARY_DEADLINE_MS),
      ...fields,
    };
    const options = {host, port, path: '/app/1', method: 'POST', headers};
    return new Promise(resolve => {
      const req = request({...options, agent: false}, res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode ?? 0));
        res.on('error', () => resolve(0));
      });
      req.setTimeout(ORDINARY_DEADLINE_MS, () => req.destroy());
      req.on('error', () => resolve(0));
      req.end(body);
    });
  }

  /** Reads a response slowly but steadily; resolves to the bytes it got. */
  readSlowly(requestPath: string): Promise<number> {
    const [host, port] = this.listens.callers.split(':');
    const headers = {
      host: HOST,
      [NAMES.requestId]: `slow-${Math.random()}`,
      [NAMES.deadline]: String(ORDINARY_DEADLINE_MS),
    };
    const options = {host, port, path: requestPath, headers, agent: false};
    return new Promise(resolve => {
      const req = request(options, res => {
        let receivedBytes = 0;
        const read = () => {
          const data = (res.read(SLOW_READ_BYTES) ?? res.read()) as unknown;
          if (Buffer.isBuffer(data)) receivedBytes += data.length;
        };
        const reading = setInterval(read, SLOW_READ_INTERVAL_MS);
        res.on('error', () => undefined);
        res.on('close', () => {
          clearInterval(reading);
          resolve(res.statusCode === 200 ? receivedBytes : 0);
        });
      });
      req.on('error', () => resolve(0));
      req.end();
    });
  }

  async stop(): Promise<void> {
    clearInterval(this.#sampling);
    await this.process.end();
    rmSync(this.#folder, {recursive: true});
  }

  #sample(): void {
    const {process} = this;
    if (!process.running) return;
    try {
      const open = readdirSync(`/proc/${process.pid}/fd`).length;
      this.#peakDescriptors = Math.max(this.#peakDescriptors, open);
      const {peakMemoryMb} = process;
      if (peakMemoryMb > this.#peakMemoryMb) this.#peakMemoryMb = peakMemoryMb;
    } catch {
      // The process ends just now; what was seen before counts.
    }
  }
}
