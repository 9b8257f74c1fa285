/**
 * A small fleet: daemons as processes of their own, started with the command of
 * the deploy file, beside the stand-in of the store and instances. All addresses
 * are on the loopback interface.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {PlatformStore} from '../../features/support/platform_store.js';
import {freeAddress} from '../../features/support/ports.js';
import {Instance, type InstanceOptions} from './instance.js';
import type {Recorder} from './recorder.js';
import {StoreRelay} from './store_relay.js';

const READY_TIMEOUT_MS = 15_000;

/** What a machine is to have. */
export interface MachinePlan {
  readonly id: string;
  readonly service: string;
  readonly slots: number;
  readonly workMs: number;
  readonly answerBytes?: (path: string) => number;
}

/** Options of {@link Fleet.start}. */
export interface FleetOptions {
  readonly machines: readonly MachinePlan[];
  readonly configuration: string;
  /** How long the store keeps an idle connection; 0: for good. */
  readonly storeIdleMs?: number;
  /** Memory of each machine; 350 if omitted. */
  readonly memoryMb?: number;
  /** How far ahead a machine's time of day is as its instance starts. */
  readonly stepMs?: (machine: string) => number;
  readonly record: Recorder;
}

/** A request that a client is to send. */
export interface ClientRequest {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  readonly method?: 'GET' | 'POST';
  readonly key?: string;
  readonly deadlineMs: number;
  readonly body?: string | Buffer;
}

/** What a client saw of its request. */
export interface ClientResult extends ClientRequest {
  readonly machine: string;
  readonly sentAtMs: number;
  readonly tookMs: number;
  /** Undefined: the connection ended without an answer. */
  readonly status: number | undefined;
  readonly isLeaving: boolean;
  /** Whether it was sent on a connection that had been used before. */
  readonly isKept: boolean;
}

/** One machine: a daemon and its instance. */
export class Machine {
  readonly id: string;
  readonly relay: StoreRelay;
  readonly #fleet: Fleet;
  readonly #plan: MachinePlan;
  readonly #addresses: Readonly<Record<string, string>>;
  /** The relay's address. */
  readonly #store: string;
  readonly #agent = new Agent({keepAlive: true});
  #settingsFile = '';
  #process: ChildProcess | undefined;
  instance: Instance;

  constructor(
    fleet: Fleet,
    plan: MachinePlan,
    addresses: Readonly<Record<string, string>>,
    {relay, store}: {readonly relay: StoreRelay; readonly store: string},
  ) {
    this.id = plan.id;
    this.relay = relay;
    this.#store = store;
    this.#fleet = fleet;
    this.#plan = plan;
    this.#addresses = addresses;
    this.instance = this.createInstance({});
  }

  /** An incarnation of this machine's instance. */
  createInstance(changes: Partial<InstanceOptions>): Instance {
    const {id, service, slots, workMs, answerBytes} = this.#plan;
    return new Instance({
      id: `i-${id}`,
      service,
      address: this.#addresses.app ?? '',
      control: this.#addresses.announcements ?? '',
      slots,
      workMs,
      answerBytes,
      record: this.#fleet.record,
      ...changes,
    });
  }

  /** Writes the settings as `deploy/settings.template.json` has them. */
  writeSettings(isFirstStart: boolean): void {
    const {callers, readiness, announcements, peers, metrics, app} =
      this.#addresses;
    const settings = {
      vm: {id: this.id, failureDomain: 'zone-a'},
      listen: {callers, readiness, announcements, peers, metrics},
      backend: {address: app, service: this.#plan.service},
      store: {address: this.#store},
      isFirstStart,
      scheduling: {customerShares: 'equal'},
      stopTimeoutS: 6,
      resources: {memoryMb: this.#fleet.memoryMb, maxDescriptors: 4100},
      repeats: {ratio: 0.2, windowS: 10, slack: 60, callReserve: 0.2},
    };
    this.#settingsFile = path.join(this.#fleet.folder, `${this.id}.json`);
    writeFileSync(this.#settingsFile, JSON.stringify(settings));
  }

  startDaemon(): void {
    const [program = 'node', ...args] = deployCommand(this.#settingsFile);
    const child = spawn(program, args, {stdio: ['ignore', 'pipe', 'pipe']});
    this.#fleet.record(`the daemon of ${this.id} starts`);
    const log = (bytes: Buffer) => this.#fleet.addLog(bytes);
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    this.#process = child;
  }

  /** Ends the daemon by SIGKILL. */
  async killDaemon(): Promise<void> {
    const child = this.#process;
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    const ended = new Promise(resolve => child.once('exit', resolve));
    child.kill('SIGKILL');
    await ended;
    this.#fleet.record(`the daemon of ${this.id} is killed`);
  }

  async untilReady(): Promise<void> {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const isReady = await fetch(`http://${this.#addresses.readiness}/`).then(
        ({status}) => status === 200,
        () => false,
      );
      if (isReady) return;
      await sleep(50);
    }
    throw new Error(`the daemon of ${this.id} is not ready`);
  }

  /** The address that clients on this machine send to. */
  get outbound(): string {
    return this.#addresses.callers ?? '';
  }

  /** Sends a request from a client on this machine, on a kept connection. */
  send(req: ClientRequest): Promise<ClientResult> {
    const [host, port] = (this.#addresses.callers ?? '').split(':');
    const sentAtMs = performance.now();
    return new Promise(resolve => {
      const settle = (status?: number, isLeaving = false) =>
        resolve({
          ...req,
          machine: this.id,
          sentAtMs,
          tookMs: performance.now() - sentAtMs,
          status,
          isLeaving,
          isKept: out.reusedSocket,
        });
      const out = request({
        host,
        port,
        method: req.method ?? 'GET',
        path: req.path,
        agent: this.#agent,
        headers: {
          host: req.host,
          'x-attempt-id': req.id,
          'x-request-deadline': String(req.deadlineMs),
          ...(req.key !== undefined && {'x-credential': req.key}),
        },
      });
      out.setTimeout(req.deadlineMs, () => out.destroy());
      out.on('response', res => {
        res.resume();
        const isLeaving = res.headers['server-leaving'] === '1';
        res.on('end', () => settle(res.statusCode, isLeaving));
        res.on('error', () => settle());
      });
      out.on('error', () => settle());
      out.end(req.body);
    });
  }

  close(): void {
    this.#agent.destroy();
    this.relay.stop();
  }
}

/** The fleet of one script. */
export class Fleet {
  readonly store = new PlatformStore();
  readonly folder = mkdtempSync(path.join(tmpdir(), 'review-'));
  readonly record: Recorder;
  readonly #machines: Machine[] = [];
  readonly #log: Buffer[] = [];

  readonly memoryMb: number;

  private constructor({record, memoryMb = 350}: FleetOptions) {
    this.record = record;
    this.memoryMb = memoryMb;
  }

  /** Starts the store, the instances and the daemons. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const fleet = new Fleet(options);
    fleet.store.writeConfiguration(options.configuration);
    const storeAddress = await fleet.store.start();
    for (const plan of options.machines) {
      const relay = new StoreRelay(storeAddress, options.storeIdleMs ?? 0);
      const store = await relay.start();
      const addresses = await freeAddresses();
      const machine = new Machine(fleet, plan, addresses, {relay, store});
      machine.writeSettings(true);
      fleet.#machines.push(machine);
    }
    fleet.#machines.forEach(machine => machine.startDaemon());
    await Promise.all(fleet.#machines.map(m => m.untilReady()));
    const {stepMs = () => 0} = options;
    await Promise.all(
      fleet.#machines.map(machine => {
        const born = Date.now() + stepMs(machine.id);
        machine.instance = machine.createInstance({born});
        return machine.instance.start();
      }),
    );
    return fleet;
  }

  get machines(): readonly Machine[] {
    return this.#machines;
  }

  machine(id: string): Machine {
    const found = this.#machines.find(machine => machine.id === id);
    if (!found) throw new Error(`no machine ${id}`);
    return found;
  }

  /** Keeps the log of all daemons for a look at a failure. */
  addLog(bytes: Buffer): void {
    this.#log.push(bytes);
  }

  get log(): string {
    return Buffer.concat(this.#log).toString();
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    await Promise.all(this.#machines.map(m => m.killDaemon()));
    this.#machines.forEach(m => m.close());
    this.store.stop();
    rmSync(this.folder, {recursive: true, force: true});
  }
}

async function freeAddresses(): Promise<Readonly<Record<string, string>>> {
  const names = [
    'callers',
    'readiness',
    'announcements',
    'peers',
    'metrics',
    'app',
  ];
  const entries: [string, string][] = [];
  for (const name of names) entries.push([name, await freeAddress()]);
  return Object.fromEntries(entries);
}

/** The command of the deploy file, with the settings of one machine. */
function deployCommand(settingsFile: string): readonly string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const [, run = ''] = /^run = "([^"]+)"/m.exec(text) ?? [];
  return run
    .split(' ')
    .map(word =>
      word === '/etc/chicorycourse/boot.yaml' ? settingsFile : word,
    );
}
