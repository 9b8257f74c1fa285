/** Steps for a mesh daemon that runs as a process of its own. */
import assert from 'node:assert/strict';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {
  createServer,
  request,
  type RequestListener,
  type ServerResponse,
  type Server,
} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {After, Given, Then, When} from '@cucumber/cucumber';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {listen} from '../../src/http/listener.js';
import {daemonNodeArgs} from '../support/deploy_file.js';
import {until} from '../support/fleet.js';
import {freeAddress} from '../support/ports.js';
import {TestProcess} from '../support/process.js';
import {stateOf} from './platform_adapter_steps.js';

/** Addresses of a daemon's listeners. */
type Listens = Readonly<
  Record<
    'callers' | 'readiness' | 'announcements' | 'peers' | 'metrics',
    string
  >
>;

/** What a daemon needs to start. */
interface DaemonSetup {
  readonly backend: Server;
  /** Contains the settings file. */
  readonly folder: string;
  readonly listens: Listens;
  readonly callers: string;
  /** Ids of the requests that reached the instance. */
  readonly seen: string[];
}

/** The process of one scenario and what belongs to it. */
export interface DaemonProcess extends DaemonSetup {
  readonly process: TestProcess;
  status?: number;
  exitCode?: number | null;
}

/** A daemon one of whose addresses another server has. */
interface OccupiedAddress {
  readonly setup: DaemonSetup;
  readonly occupant: Server;
}

const daemons = new WeakMap<object, DaemonProcess>();
const occupied = new WeakMap<object, OccupiedAddress>();
const SETTINGS_FILE = 'settings.json';
const ANY_PORT = '127.0.0.1:0';
const INSTANCE = 'i-1';
/** The second signal comes while the daemon still accepts callers. */
const SECOND_SIGNAL_MS = 300;

export function daemonOf(world: object): DaemonProcess {
  const daemon = daemons.get(world);
  assert.ok(daemon);
  return daemon;
}

After(async function () {
  await daemons.get(this)?.process.end();
  const {setup, occupant} = occupied.get(this) ?? {};
  occupant?.close();
  const daemon = daemons.get(this) ?? setup;
  daemon?.backend.closeAllConnections();
  daemon?.backend.close();
  if (daemon) rmSync(daemon.folder, {recursive: true});
});

Given(
  'the process of a mesh daemon whose instance takes {int} ms',
  async function (takesMs: number) {
    await startDaemonProcess(this, (_, res) => {
      setTimeout(() => res.end('done'), takesMs);
    });
  },
);

/** What differs from the usual in the daemon process of a scenario. */
export interface ProcessOptions {
  /** Settings beside the usual ones. */
  readonly settings?: Readonly<Record<string, unknown>>;
  /** The remaining warm-up that the health path names. */
  readonly warmupRemaining?: string;
}

const processOptions = new WeakMap<object, ProcessOptions>();

function processOptionsOf(world: object): ProcessOptions {
  return processOptions.get(world) ?? {};
}

/** Changes what differs; called before the process is started. */
export function configureProcess(world: object, options: ProcessOptions): void {
  processOptions.set(world, {...processOptionsOf(world), ...options});
}

function answerHealth(
  res: ServerResponse,
  {warmupRemaining}: ProcessOptions,
): void {
  if (warmupRemaining !== undefined)
    res.setHeader(NAMES.warmupLeft, warmupRemaining);
  res.end();
}

/** The backend server of a daemon, and the daemon's settings. */
async function prepareDaemon(
  world: object,
  respond: RequestListener,
): Promise<DaemonSetup> {
  const seen: string[] = [];
  const backend = createServer((req, res) => {
    res.setHeader(NAMES.instance, INSTANCE);
    if (req.url === '/health')
      return answerHealth(res, processOptionsOf(world));
    const id = String(req.headers[NAMES.requestId]);
    seen.push(id);
    res.setHeader(NAMES.requestId, id);
    res.setHeader(NAMES.signature, 'signed');
    return respond(req, res);
  });
  const address = await listen(backend, ANY_PORT, 'backend server');
  const listens = {
    callers: await freeAddress(),
    readiness: await freeAddress(),
    announcements: await freeAddress(),
    peers: await freeAddress(),
    metrics: await freeAddress(),
  };
  const folder = mkdtempSync(path.join(tmpdir(), 'mesh-daemon-'));
  const settings = {
    vm: {id: 'vm-1', failureDomain: 'a'},
    listen: listens,
    backend: {address, service: 'pay'},
    store: {address: stateOf(world).address},
    isFirstStart: false,
    stopTimeoutS: 6,
    repeats: {ratio: 0.2, windowS: 10, slack: 60},
    ...processOptionsOf(world).settings,
  };
  writeFileSync(path.join(folder, SETTINGS_FILE), JSON.stringify(settings));
  return {backend, folder, listens, callers: listens.callers, seen};
}

/** Starts the process; resolves at its first line of output. */
async function startProcess(
  world: object,
  setup: DaemonSetup,
): Promise<DaemonProcess> {
  const process = await TestProcess.start({
    script: 'platform/main.ts',
    nodeArgs: ['--import', 'tsx', ...daemonNodeArgs()],
    args: ['--settings', path.join(setup.folder, SETTINGS_FILE)],
  });
  const daemon = {...setup, process};
  daemons.set(world, daemon);
  return daemon;
}

async function untilReady(
  {listens}: DaemonSetup,
  withinMs: number,
): Promise<void> {
  const isReady = async () =>
    (await fetch(`http://${listens.readiness}/`)).status === 200;
  await until('the daemon is ready', isReady, withinMs);
}

/** Starts a daemon whose instance answers as `respond` does. */
export async function startDaemonProcess(
  world: object,
  respond: RequestListener,
): Promise<DaemonProcess> {
  const daemon = await startProcess(world, await prepareDaemon(world, respond));
  await untilReady(daemon, 5000);
  return daemon;
}

Given(
  'the {word} address of a mesh daemon is taken',
  async function (listener: keyof DaemonSetup['listens']) {
    const setup = await prepareDaemon(this, (_, res) => res.end('done'));
    const occupant = createServer();
    await listen(occupant, setup.listens[listener], 'occupant');
    occupied.set(this, {setup, occupant});
  },
);

function occupiedOf(world: object): OccupiedAddress {
  const found = occupied.get(world);
  assert.ok(found);
  return found;
}

When('its process starts and gets SIGTERM', async function () {
  const daemon = await startProcess(this, occupiedOf(this).setup);
  daemon.exitCode = await daemon.process.end('SIGTERM');
});

When(
  'its process starts and gets SIGHUP, and the address is free {int} ms later',
  async function (laterMs: number) {
    const {setup, occupant} = occupiedOf(this);
    const {process} = await startProcess(this, setup);
    process.signal('SIGHUP');
    await sleep(laterMs);
    occupant.close();
  },
);

When(
  'its process starts, and the address is free {int} ms later',
  async function (laterMs: number) {
    const {setup, occupant} = occupiedOf(this);
    await startProcess(this, setup);
    await sleep(laterMs);
    occupant.close();
  },
);

Then('the process is ready within {int} ms', async function (withinMs: number) {
  await untilReady(daemonOf(this), withinMs);
});

When(
  'a caller sends a request, and the process gets SIGTERM twice',
  async function () {
    const daemon = daemonOf(this);
    const answered = post(daemon.callers).then(status => {
      daemon.status = status;
    });
    await until('the instance runs it', () => daemon.seen.length === 1, 2000);
    const {process} = daemon;
    process.signal('SIGTERM');
    await sleep(SECOND_SIGNAL_MS);
    daemon.exitCode = await process.end('SIGTERM');
    await answered;
  },
);

/** Sends a request; resolves to its status, or 0 without a response. */
export function post(callers: string, id = 'request-1'): Promise<number> {
  const [host, port] = callers.split(':');
  const headers = {
    host: 'app.example',
    [NAMES.requestId]: id,
    [NAMES.deadline]: '4000',
    [NAMES.key]: 'key-1',
  };
  const path = '/unsafe/1';
  const options = {host, port, path, method: 'POST', headers, agent: false};
  return new Promise(resolve => {
    const req = request(options, res => {
      res.resume();
      res.on('end', () => resolve(res.statusCode ?? 0));
    });
    req.on('error', () => resolve(0));
    req.end('body');
  });
}

Then('the request is served', function () {
  assert.equal(daemonOf(this).status, 200);
});

Then('the process ends with exit code {int}', function (code: number) {
  assert.equal(daemonOf(this).exitCode, code);
});
