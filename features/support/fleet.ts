/**
 * A small fleet of separate processes on loopback: the store stand-in,
 * daemons, and backend servers. Features, the bench and the demo share it.
 */
import {execFile} from 'node:child_process';
import {createHash} from 'node:crypto';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {freeAddress} from './ports.js';
import {Network} from './network.js';
import {TestProcess} from './process.js';

/** Addresses that a daemon listens on. */
export interface DaemonAddresses {
  readonly callers: string;
  readonly administration: string;
  readonly instances: string;
  readonly peers: string;
}

/** One daemon of a test. */
export interface TestDaemon {
  readonly id: string;
  readonly process: TestProcess;
  readonly addresses: DaemonAddresses;
  readonly settingsFile: string;
  readonly bundle: string;
  readonly nodeArgs: readonly string[];
}

/** One backend server of a test. */
export interface TestInstance {
  readonly id: string;
  readonly service: string;
  readonly process: TestProcess;
  readonly address: string;
}

/** Where a daemon stands, and what differs from the usual settings. */
export interface DaemonPlan {
  readonly id: string;
  readonly failureDomain: string;
  readonly region?: string;
  /** Merged over the usual settings, one level deep. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** A mutant's name, or undefined for the real program. */
  readonly mutant?: string;
  /** Arguments of Node.js itself, as for a processor profile. */
  readonly nodeArgs?: readonly string[];
}

/** What is started for an instance. */
export interface InstancePlan {
  readonly id: string;
  readonly service: string;
  /** Daemons that it announces to, in turn. */
  readonly daemons: readonly string[];
  readonly slots?: number;
  readonly serviceMs?: number;
}

/** The operator's token in tests; the settings hold its digest. */
export const OPERATOR_TOKEN = 'operator-token-for-tests';
export const READER_TOKEN = 'reader-token-for-tests';

const dist = path.resolve('dist');
const STORE_TOKEN = 'stand-in-store-token';
const POLL_MS = 25;
const MAX_OUTPUT_BYTES = 64 * 1024 * 1024;

const sha256 = (text: string) =>
  createHash('sha256').update(text).digest('hex');

/** The fleet of one test. */
export class Fleet {
  readonly #folder = mkdtempSync(path.join(tmpdir(), 'chicorycourse-'));
  readonly daemons = new Map<string, TestDaemon>();
  readonly instances = new Map<string, TestInstance>();
  #store: TestProcess | undefined;
  #network: Network | undefined;
  #linkedIds: readonly string[] = [];
  storeAddress = '';

  async startStore(): Promise<void> {
    this.#store = await TestProcess.start({
      script: path.join(dist, 'standins/kv.cjs'),
      args: ['127.0.0.1:0'],
      env: {KV_TOKEN: STORE_TOKEN},
    });
    this.storeAddress = `127.0.0.1:${portOf(this.#store.firstLine)}`;
  }

  /**
   * Puts a relay between all daemons `ids` and the store. Call it after the
   * store and before the first daemon was started.
   */
  async startNetwork(ids: readonly string[], delayMs = 0): Promise<Network> {
    const network = await Network.start();
    this.#network = network;
    const pairs = ids.flatMap(from =>
      ids.filter(to => to !== from).map(to => `${from}>${to}`),
    );
    await Promise.all(pairs.map(name => network.link(name, {delayMs})));
    await Promise.all(
      ids.map(id => network.link(`${id}>store`, {target: this.storeAddress})),
    );
    this.#linkedIds = ids;
    return network;
  }

  /** The network between the daemons, if there is one. */
  get network(): Network {
    if (!this.#network) throw new Error('no network was started');
    return this.#network;
  }

  async startDaemon(plan: DaemonPlan): Promise<TestDaemon> {
    const settingsFile = path.join(this.#folder, `${plan.id}.json`);
    const usual = await this.#settingsFor(plan);
    const settings = {...usual, ...plan.settings};
    writeFileSync(settingsFile, JSON.stringify(settings));
    const bundle = plan.mutant
      ? path.join(dist, 'mutants', `${plan.mutant}.cjs`)
      : path.join(dist, 'chicorycourse.cjs');
    const daemon = await this.#serve({
      id: plan.id,
      settingsFile,
      bundle,
      nodeArgs: plan.nodeArgs ?? [],
    });
    this.daemons.set(plan.id, daemon);
    await this.#pointLinksTo(plan.id, daemon.addresses.peers);
    return daemon;
  }

  /** Starts a daemon that ended again, at the same addresses. */
  async restartDaemon(id: string): Promise<TestDaemon> {
    const {settingsFile, addresses, bundle, nodeArgs} = this.daemon(id);
    const settings = {
      ...this.#readSettings(settingsFile),
      listen: addresses,
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    const daemon = await this.#serve({id, settingsFile, bundle, nodeArgs});
    this.daemons.set(id, daemon);
    return daemon;
  }

  async startInstance(plan: InstancePlan): Promise<TestInstance> {
    const announce = plan.daemons
      .map(id => this.daemon(id).addresses.instances)
      .join(',');
    const proc = await TestProcess.start({
      script: path.join(dist, 'standins/backend.cjs'),
      args: [
        plan.service,
        plan.id,
        announce,
        String(plan.slots ?? 3),
        String(plan.serviceMs ?? 5),
      ],
    });
    const address = `127.0.0.1:${portOf(proc.firstLine)}`;
    const {id, service} = plan;
    const instance = {id, service, process: proc, address};
    this.instances.set(id, instance);
    return instance;
  }

  /** Runs a command of the program; resolves to its output and exit code. */
  async run(args: readonly string[]): Promise<CommandResult> {
    return runCommand([path.join(dist, 'chicorycourse.cjs'), ...args]);
  }

  /** Runs a command of an operator through one daemon. */
  async operate(
    id: string,
    args: readonly string[],
    token = OPERATOR_TOKEN,
  ): Promise<CommandResult> {
    const {administration} = this.daemon(id).addresses;
    const tokenFile = this.writeFile(`token-${token}`, token);
    const access = ['--admin', administration, '--token-file', tokenFile];
    return this.run([...args, ...access]);
  }

  /** Applies a sheet through a daemon; throws if refused. */
  async applySheet(daemonId: string, text: string): Promise<string> {
    const file = this.writeFile('sheet.csv', `\uFEFF${text}\r\n`);
    return this.#runWith(daemonId, ['apply', file]);
  }

  /** Issues a key of a customer. */
  async issueKey(daemonId: string, customer: string): Promise<string> {
    const output = await this.#runWith(daemonId, ['key', 'issue', customer]);
    return (JSON.parse(output) as {key: string}).key;
  }

  async #runWith(daemonId: string, args: readonly string[]): Promise<string> {
    const result = await this.operate(daemonId, args);
    if (result.code !== 0) throw new Error(result.stderr);
    return result.stdout;
  }

  /** Writes a file into the fleet's folder; resolves to its path. */
  writeFile(name: string, content: string | Buffer): string {
    const file = path.join(this.#folder, name);
    writeFileSync(file, content);
    return file;
  }

  daemon(id: string): TestDaemon {
    const daemon = this.daemons.get(id);
    if (!daemon) throw new Error(`no daemon ${id}`);
    return daemon;
  }

  instance(id: string): TestInstance {
    const instance = this.instances.get(id);
    if (!instance) throw new Error(`no instance ${id}`);
    return instance;
  }

  /** Switches faults of the store or of an instance. */
  async setFaults(address: string, faults: unknown): Promise<void> {
    await fetch(`http://${address}/faults`, {
      method: 'PUT',
      body: JSON.stringify(faults),
    });
  }

  /** The status that a daemon's administration API reports. */
  async status(id: string): Promise<DaemonStatus> {
    const {administration} = this.daemon(id).addresses;
    const res = await fetch(`http://${administration}/v1/status`, {
      headers: {authorization: `Bearer ${READER_TOKEN}`},
      signal: AbortSignal.timeout(2000),
    });
    return (await res.json()) as DaemonStatus;
  }

  /** Ends every process and removes the folder. */
  async stop(): Promise<void> {
    const all = [
      ...[...this.daemons.values()].map(daemon => daemon.process),
      ...[...this.instances.values()].map(instance => instance.process),
      ...(this.#store ? [this.#store] : []),
    ];
    await Promise.all(all.map(proc => proc.end()));
    await this.#network?.stop();
    rmSync(this.#folder, {recursive: true, force: true});
  }

  async #serve(
    plan: Pick<TestDaemon, 'id' | 'settingsFile' | 'bundle' | 'nodeArgs'>,
  ): Promise<TestDaemon> {
    const proc = await TestProcess.start({
      script: plan.bundle,
      args: ['serve', '--settings', plan.settingsFile],
      nodeArgs: plan.nodeArgs,
    });
    const {callers, administration, instances, peers} = JSON.parse(
      proc.firstLine,
    ) as DaemonAddresses;
    const addresses = {callers, administration, instances, peers};
    return {...plan, process: proc, addresses};
  }

  #readSettings(file: string): Record<string, unknown> {
    return JSON.parse(readFileSync(file, 'utf8')) as Record<string, unknown>;
  }

  async #pointLinksTo(id: string, target: string): Promise<void> {
    const others = this.#linkedIds.filter(other => other !== id);
    await Promise.all(
      others.map(other => this.#network?.link(`${other}>${id}`, {target})),
    );
  }

  /** Where a daemon finds its peers and the store, with or without links. */
  async #reachFor(id: string): Promise<Record<string, unknown>> {
    const network = this.#network;
    const secret = 'peer-secret-for-tests';
    if (!network) {
      const seeds = [...this.daemons.values()].map(d => d.addresses.peers);
      const store = {urls: [`http://${this.storeAddress}`], token: STORE_TOKEN};
      return {peers: {seeds, secret}, store};
    }
    const others = this.#linkedIds.filter(other => other !== id);
    const dial = await Promise.all(
      others.map(async other => [
        virtualAddress(this.#linkedIds.indexOf(other)),
        await network.link(`${id}>${other}`, {}),
      ]),
    );
    const seeds = dial.map(([address]) => address);
    const store = await network.link(`${id}>store`, {});
    const peers = virtualAddress(this.#linkedIds.indexOf(id));
    return {
      peers: {seeds, secret, dial: Object.fromEntries(dial)},
      store: {urls: [`http://${store}`], token: STORE_TOKEN},
      advertise: {peers, administration: peers},
    };
  }

  async #settingsFor(plan: DaemonPlan): Promise<Record<string, unknown>> {
    return {
      daemon: {
        id: plan.id,
        region: plan.region ?? 'region-1',
        failureDomain: plan.failureDomain,
      },
      listen: {
        callers: await freeAddress(),
        administration: await freeAddress(),
        instances: await freeAddress(),
        peers: await freeAddress(),
      },
      ...(await this.#reachFor(plan.id)),
      administration: {
        credentials: [
          {name: 'op', role: 'operator', tokenSha256: sha256(OPERATOR_TOKEN)},
          {name: 'view', role: 'reader', tokenSha256: sha256(READER_TOKEN)},
        ],
      },
    };
  }
}

/** The part of a daemon's status that tests look at. */
export interface DaemonStatus {
  readonly self: {readonly id: string; readonly incarnation: number};
  readonly members: readonly {
    readonly id: string;
    readonly slots: Readonly<Record<string, number>>;
  }[];
  readonly revision: number;
  readonly generation: number;
  /** Ids of the generation's members. */
  readonly generationMembers: readonly string[];
  /** Whether shares that moved with the generation are open. */
  readonly generationInForce: boolean;
  readonly vouched: boolean;
  readonly health: readonly {
    readonly instance: string;
    readonly grade: string;
  }[];
  /** Whether requests by key are served. */
  readonly keysFresh: boolean;
}

/** What a command printed and how it ended. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

/** Waits until `check` holds; fails with `what` after the bound. */
export async function until(
  what: string,
  check: () => Promise<boolean> | boolean,
  boundMs: number,
): Promise<void> {
  const giveUpAtMs = performance.now() + boundMs;
  while (performance.now() < giveUpAtMs) {
    if (await Promise.resolve(check()).catch(() => false)) return;
    await sleep(POLL_MS);
  }
  throw new Error(`not within ${boundMs} ms: ${what}`);
}

/** An address that only the dial settings of a fleet with links know. */
function virtualAddress(index: number): string {
  return `10.0.0.${index + 1}:7000`;
}

function portOf(line: string): number {
  return Number(line.split(' ')[1]);
}

function runCommand(args: readonly string[]): Promise<CommandResult> {
  const options = {
    env: {...process.env, NODE_OPTIONS: ''},
    maxBuffer: MAX_OUTPUT_BYTES,
  };
  return new Promise(resolve => {
    execFile(process.execPath, [...args], options, (err, stdout, stderr) => {
      const code = err ? Number(err.code ?? 1) : 0;
      resolve({code, stdout, stderr});
    });
  });
}
