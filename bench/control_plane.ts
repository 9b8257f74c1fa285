/**
 * What the control of a fleet costs each daemon, over growing fleets of real
 * daemons without requests: processor time, bytes, memory, calls of the
 * store; how long a crash takes to be known; and who is evicted falsely while
 * a few daemons are paused. Prints a table and JSON with a line through the
 * sizes.
 *
 * Arguments: [SIZES, as 10,20,40,80] [SECONDS]
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, until} from '../features/support/fleet.js';
import {fitLine} from './lib/linear_fit.js';
import {readUsage, type Usage} from './lib/process_usage.js';

interface Measured {
  readonly daemons: number;
  readonly cpuPercent: number;
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  readonly residentMegabytes: number;
  readonly storeCallsPerSecond: number;
  readonly startStoreCalls: number;
  readonly crashKnownMs: number;
  readonly falseEvictions: number;
}

const BATCH = 10;
const DOMAINS = 9;
const SETTLE_MS = 15_000;
const JOIN_BOUND_MS = 120_000;
const CRASH_BOUND_MS = 60_000;
const PAUSE_MS = 3000;
const PAUSED_COUNT = 3;
const WATCH_MS = 8000;

/** Starts one daemon for the others to join by, then the rest in batches. */
async function startAll(fleet: Fleet, count: number): Promise<void> {
  const rest = Math.ceil((count - 1) / BATCH);
  const firsts = [0, ...Array.from({length: rest}, (_, i) => 1 + i * BATCH)];
  for (const first of firsts) {
    const size = first === 0 ? 1 : Math.min(BATCH, count - first);
    const plans = Array.from({length: size}, (_, i) => ({
      id: `d${first + i}`,
      failureDomain: `domain-${(first + i) % DOMAINS}`,
      settings: {log: {level: 'silent'}},
    }));
    await Promise.all(plans.map(plan => fleet.startDaemon(plan)));
  }
}

async function memberCounts(fleet: Fleet): Promise<readonly number[]> {
  const running = [...fleet.daemons.values()].filter(d => d.process.running);
  const statuses = await Promise.all(running.map(d => fleet.status(d.id)));
  return statuses.map(status => status.members.length);
}

async function allKnow(fleet: Fleet, count: number): Promise<boolean> {
  return (await memberCounts(fleet)).every(known => known === count);
}

async function storeCalls(fleet: Fleet): Promise<number> {
  const res = await fetch(`http://${fleet.storeAddress}/counts`);
  const counts = (await res.json()) as Record<string, number>;
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

function usages(fleet: Fleet): readonly Usage[] {
  return [...fleet.daemons.values()].map(d => readUsage(d.process.pid));
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Kills the last daemon; resolves to the time until all others know. */
async function measureCrash(fleet: Fleet, count: number): Promise<number> {
  const startedAtMs = performance.now();
  await fleet.daemon(`d${count - 1}`).process.end('SIGKILL');
  await until(
    'the crash is known',
    () => allKnow(fleet, count - 1),
    CRASH_BOUND_MS,
  );
  return performance.now() - startedAtMs;
}

/** Pauses a few daemons; resolves to the most that any view missed. */
async function measurePauses(fleet: Fleet, alive: number): Promise<number> {
  const paused = Array.from({length: PAUSED_COUNT}, (_, i) => `d${i + 1}`);
  paused.forEach(id => fleet.daemon(id).process.signal('SIGSTOP'));
  await sleep(PAUSE_MS);
  paused.forEach(id => fleet.daemon(id).process.signal('SIGCONT'));
  const endAtMs = performance.now() + WATCH_MS;
  let missing = 0;
  while (performance.now() < endAtMs) {
    const counts = await memberCounts(fleet);
    missing = Math.max(missing, ...counts.map(known => alive - known));
    await sleep(500);
  }
  return missing;
}

async function measure(count: number, seconds: number): Promise<Measured> {
  const fleet = new Fleet();
  try {
    await fleet.startStore();
    await startAll(fleet, count);
    await until('all are known', () => allKnow(fleet, count), JOIN_BOUND_MS);
    await sleep(SETTLE_MS);
    const startStoreCalls = await storeCalls(fleet);
    const before = usages(fleet);
    await sleep(seconds * 1000);
    const after = usages(fleet);
    const steadyCalls = (await storeCalls(fleet)) - startStoreCalls;
    const grown = (field: keyof Usage) =>
      meanOf(after.map((u, i) => u[field] - (before[i]?.[field] ?? 0))) /
      seconds;
    const crashKnownMs = await measureCrash(fleet, count);
    const falseEvictions = await measurePauses(fleet, count - 1);
    return {
      daemons: count,
      cpuPercent: grown('cpuMs') / 10,
      sentBytesPerSecond: grown('writtenBytes'),
      receivedBytesPerSecond: grown('readBytes'),
      residentMegabytes: meanOf(after.map(u => u.residentBytes)) / 1e6,
      storeCallsPerSecond: steadyCalls / seconds,
      startStoreCalls,
      crashKnownMs,
      falseEvictions,
    };
  } finally {
    await fleet.stop();
  }
}

async function main(): Promise<void> {
  const [sizes = '10,20,40,80', seconds = '30'] = process.argv.slice(2);
  const results: Measured[] = [];
  for (const size of sizes.split(',').map(Number)) {
    const result = await measure(size, Number(seconds));
    results.push(result);
    process.stderr.write(`${JSON.stringify(result)}\n`);
  }
  const lineOf = (field: keyof Measured) =>
    fitLine(results.map(r => ({x: r.daemons, y: r[field]})));
  const lines = {
    cpuPercent: lineOf('cpuPercent'),
    sentBytesPerSecond: lineOf('sentBytesPerSecond'),
    receivedBytesPerSecond: lineOf('receivedBytesPerSecond'),
    residentMegabytes: lineOf('residentMegabytes'),
    storeCallsPerSecond: lineOf('storeCallsPerSecond'),
  };
  console.table(results);
  process.stdout.write(`${JSON.stringify({results, lines}, null, 2)}\n`);
}

void main();
