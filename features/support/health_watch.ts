/** Samples the grades of instances on all daemons, and sends a steady load. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from './fleet.js';
import type {CallerAnswer, World} from './world.js';

/** The instances that were ejected at one time. */
export interface EjectedSample {
  readonly atMs: number;
  readonly ejected: readonly string[];
}

/** A change of the grade of an instance. */
export interface GradeChange {
  readonly atMs: number;
  readonly instance: string;
  readonly grade: string;
}

interface GradesSeen {
  readonly atMs: number;
  readonly grades: ReadonlyMap<string, string>;
}

const SAMPLE_INTERVAL_MS = 40;
/** An older status of a daemon is not counted, since it may be outdated. */
const MAX_STATUS_AGE_MS = 200;

/** Polls the status of every daemon until it is stopped. */
export class HealthWatch {
  readonly #fleet: Fleet;
  readonly #latest = new Map<string, GradesSeen>();
  readonly samples: EjectedSample[] = [];
  readonly changes: GradeChange[] = [];
  #stopped = false;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    [...fleet.daemons.keys()].forEach(id => void this.#poll(id));
  }

  stop(): void {
    this.#stopped = true;
  }

  /** The first change since `fromMs` of an instance to a grade below full. */
  firstNotFull(instance: string, fromMs: number): GradeChange | undefined {
    return this.changes.find(
      change =>
        change.instance === instance &&
        change.atMs >= fromMs &&
        change.grade !== 'full',
    );
  }

  async #poll(id: string): Promise<void> {
    while (!this.#stopped) {
      const sentAtMs = performance.now();
      const status = await this.#fleet.status(id).catch(() => undefined);
      const atMs = performance.now();
      if (status && atMs - sentAtMs < MAX_STATUS_AGE_MS) {
        const pairs = status.health.map(h => [h.instance, h.grade] as const);
        this.#record(id, {atMs, grades: new Map(pairs)});
      }
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }

  #record(id: string, seen: GradesSeen): void {
    const before = this.#latest.get(id)?.grades;
    seen.grades.forEach((grade, instance) => {
      if (before?.get(instance) === grade) return;
      this.changes.push({atMs: seen.atMs, instance, grade});
    });
    this.#latest.set(id, seen);
    const ejected = [...this.#latest.values()]
      .filter(({atMs}) => seen.atMs - atMs < MAX_STATUS_AGE_MS)
      .flatMap(({grades}) => [...grades])
      .filter(([, grade]) => grade === 'ejected')
      .map(([instance]) => instance);
    this.samples.push({atMs: seen.atMs, ejected: [...new Set(ejected)]});
  }
}

/** Sends a steady load to all daemons in turn; counts responses by status. */
export class SteadyLoad {
  readonly statuses = new Map<number, number>();
  /** Errors, and responses with a status other than 200. */
  readonly failures: string[] = [];
  readonly #timer: NodeJS.Timeout;
  readonly #inFlight = new Set<Promise<void>>();
  #nextDaemon = 0;

  constructor(world: World, path: string, ratePerS: number) {
    const daemons = [...world.fleet.daemons.keys()];
    this.#timer = setInterval(() => {
      const daemon = daemons[this.#nextDaemon++ % daemons.length] ?? '';
      const run = this.#send(world, daemon, path);
      this.#inFlight.add(run);
      void run.finally(() => this.#inFlight.delete(run));
    }, 1000 / ratePerS);
  }

  /** Stops sending; resolves when all requests were answered. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#inFlight);
  }

  async #send(world: World, daemon: string, path: string): Promise<void> {
    const signal = AbortSignal.timeout(5000);
    let answer: CallerAnswer | undefined;
    try {
      answer = await world.request(daemon, path, {signal});
    } catch (err) {
      this.failures.push(String(err));
    }
    if (answer && answer.status !== 200) {
      this.failures.push(`${answer.status} ${answer.text}`);
    }
    const status = answer?.status ?? 0;
    this.statuses.set(status, (this.statuses.get(status) ?? 0) + 1);
  }
}
