/**
 * Health of the instances behind this daemon's gate. The gate in front of an
 * instance is the only one that sends it work, so it has all the evidence
 * and decides alone; only the floor is agreed over the fleet.
 */
import type {Instance} from '../gate/instances.js';
import type {Logger} from '../log/logger.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import type {Generations, Vouches} from '../member/generation.js';
import type {Metrics} from '../metrics/metrics.js';
import {FloorAuthority} from './floor_authority.js';
import {Grading} from './grading.js';
import {LoadHint} from './load_hint.js';
import {reportOf} from './instance_report.js';
import type {ReportReply, ServiceReport} from './messages.js';
import {PERMIT_MS} from './permit_rule.js';
import {Prober} from './prober.js';
import {Reporter} from './reporter.js';
import type {
  Candidacy,
  Grade,
  HealthView,
  MethodClass,
  Observation,
} from './view.js';

/** Options of {@link Health}. */
export interface HealthOptions {
  /** Instances that are announced to this daemon now. */
  readonly instances: () => readonly Instance[];
  readonly links: Links;
  readonly membership: Membership;
  readonly generations: Generations;
  readonly vouches: Vouches;
  readonly floorOf: (service: string) => number | undefined;
  /** Called when a grade has changed. */
  readonly onChange: () => void;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** The health of one instance, for status. */
export interface InstanceHealth {
  readonly instance: string;
  readonly service: string;
  readonly grade: Grade;
  readonly suspicion: string;
  readonly permitLeftMs: number;
}

interface Watched {
  readonly grading: Grading;
  readonly load: LoadHint;
  probedAtMs: number;
  seenAtMs: number;
}

const TICK_MS = 100;
/** A longer pause of this process makes latencies worthless. */
const PAUSE_MS = 300;
/** Share of its own lag that a daemon remembers at the next tick. */
const LAG_MEMORY = 0.6;
const PROBE_INTERVAL_MS = 1000;
const URGENT_PROBE_MS = 200;
/** An instance that comes back within this time keeps its record. */
const MEMORY_MS = 60_000;

/** Watches instances, grades them, and asks for permits to eject. */
export class Health implements HealthView {
  readonly #options: HealthOptions;
  readonly #watched = new Map<string, Watched>();
  readonly #prober = new Prober();
  readonly #reporter: Reporter;
  #timer: NodeJS.Timeout | undefined;
  #tickedAtMs = performance.now();
  #limits = 0;
  #lagMs = 0;

  constructor(options: HealthOptions) {
    this.#options = options;
    const {links, membership, generations, log} = options;
    const authority = new FloorAuthority({
      ...options,
      selfId: () => membership.self().id,
    });
    links.handle('health.report', report => authority.take(report));
    this.#reporter = new Reporter({
      links,
      membership,
      generations,
      takeReport: report => authority.take(report),
      onReply: (report, reply, atMs) => this.#take(report, reply, atMs),
      log,
    });
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await this.#prober.stop();
  }

  observe(instance: Candidacy, methodClass: MethodClass): Observation {
    const {grading} = this.#watch(instance);
    grading.started();
    const observation = grading.evidence.observe(methodClass);
    return {
      sent: () => observation.sent(),
      ended: kind => {
        observation.ended(kind);
        this.#review(instance.id, grading);
      },
    };
  }

  grade(instanceId: string): Grade {
    return this.#watched.get(instanceId)?.grading.grade ?? 'full';
  }

  limit(instance: Candidacy, trial: boolean): number {
    return this.#watch(instance).grading.limit(instance, trial);
  }

  isTrialDue(instanceId: string): boolean {
    return this.#watched.get(instanceId)?.grading.isTrialDue() ?? false;
  }

  foreignLoad(instance: Candidacy): number {
    return this.#watch(instance).load.foreignSlots;
  }

  /** The health of every instance that is announced here. */
  status(): readonly InstanceHealth[] {
    return this.#options.instances().map(instance => {
      const {grading} = this.#watch(candidacyOf(instance));
      return {
        instance: instance.id,
        service: grading.service,
        grade: grading.grade,
        suspicion: grading.evidence.suspect(),
        permitLeftMs: grading.permitLeftMs,
      };
    });
  }

  #tick(): void {
    const nowMs = performance.now();
    const lateMs = nowMs - this.#tickedAtMs - TICK_MS;
    const wasPaused = lateMs > PAUSE_MS;
    this.#lagMs = Math.max(lateMs, this.#lagMs * LAG_MEMORY, 0);
    this.#tickedAtMs = nowMs;
    const instances = this.#options.instances();
    instances.forEach(instance => this.#tickOne(instance, wasPaused));
    this.#forgetGone();
    this.#noticeLimits(instances);
    const services = new Set(instances.map(i => i.announcement.service));
    services.forEach(service => this.#report(service, instances));
  }

  #tickOne(instance: Instance, wasPaused: boolean): void {
    const watched = this.#watch(candidacyOf(instance));
    const {grading} = watched;
    watched.seenAtMs = performance.now();
    if (wasPaused) grading.evidence.forgetInFlight();
    else grading.evidence.findStalls();
    this.#review(instance.id, grading);
    const isUrgent = grading.evidence.rawSuspicion() !== 'none';
    const dueMs = isUrgent ? URGENT_PROBE_MS : PROBE_INTERVAL_MS;
    if (performance.now() - watched.probedAtMs >= dueMs) {
      void this.#probe(instance, watched);
    }
  }

  async #probe(instance: Instance, watched: Watched): Promise<void> {
    if (instance.announcement.probePath === undefined) return;
    const sinceMs = watched.probedAtMs;
    watched.probedAtMs = performance.now();
    const result = await this.#prober.probe(instance);
    watched.grading.evidence.probed(result.good, sinceMs);
    watched.load.take(result.busy, instance.busy);
  }

  #report(service: string, instances: readonly Instance[]): void {
    const ofService = instances.filter(
      ({announcement}) => announcement.service === service,
    );
    const reports = ofService.map(instance =>
      reportOf(instance, this.#watch(candidacyOf(instance)).grading),
    );
    this.#reporter.report(service, reports);
  }

  #take(report: ServiceReport, reply: ReportReply, sentAtMs: number): void {
    report.instances
      .filter(instance => reply.permits.includes(instance.id))
      .forEach(({id}) => {
        const grading = this.#watched.get(id)?.grading;
        grading?.permit(sentAtMs + PERMIT_MS);
        if (grading) this.#review(id, grading);
      });
  }

  #review(id: string, grading: Grading): void {
    if (grading.review()) this.#changed(id, grading);
  }

  #changed(id: string, grading: Grading): void {
    const {service, grade} = grading;
    this.#options.metrics.count('health.grades', {service, grade});
    const why = grading.evidence.describe();
    this.#options.log.info(`Instance ${id} of ${service}: ${grade} (${why}).`);
    this.#options.onChange();
  }

  #watch({id, service}: Candidacy): Watched {
    const known = this.#watched.get(id);
    if (known?.grading.service === service) return known;
    const fresh: Watched = {
      grading: new Grading(service, {
        baseline: () => this.#reporter.baseline(service),
        ownLagMs: () => this.#lagMs,
      }),
      load: new LoadHint(),
      probedAtMs: 0,
      seenAtMs: performance.now(),
    };
    this.#watched.set(id, fresh);
    return fresh;
  }

  /** A slow start raises limits without a change of grade. */
  #noticeLimits(instances: readonly Instance[]): void {
    const limits = instances.reduce((sum, instance) => {
      return sum + this.limit(candidacyOf(instance), false);
    }, 0);
    if (limits !== this.#limits) this.#options.onChange();
    this.#limits = limits;
  }

  #forgetGone(): void {
    const beforeMs = performance.now() - MEMORY_MS;
    [...this.#watched.entries()]
      .filter(([, {seenAtMs}]) => seenAtMs < beforeMs)
      .forEach(([id]) => this.#watched.delete(id));
  }
}

/** An instance as health sees it. */
export function candidacyOf(instance: Instance): Candidacy {
  const {id, announcement, busy} = instance;
  return {id, service: announcement.service, slots: announcement.slots, busy};
}
