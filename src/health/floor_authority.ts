/**
 * The authority over the floor of a service: the one daemon that permits
 * ejections of its instances. It is the best by rendezvous of the service's
 * name over the members of the current generation, and serves only while it
 * holds a valid vouch for that generation, so that two never serve at once.
 * Any daemon answers with siblings' statistics, which need no authority.
 */
import type {Generations, Vouches} from '../member/generation.js';
import {rankMembers} from '../member/rendezvous.js';
import type {Metrics} from '../metrics/metrics.js';
import {baselineOf} from './baseline.js';
import {keepsFloor} from './floor_rule.js';
import type {
  Baseline,
  InstanceReport,
  ReportReply,
  ServiceReport,
} from './messages.js';
import {PERMIT_LAPSE_MS} from './permit_rule.js';

/** Options of {@link FloorAuthority}. */
export interface FloorAuthorityOptions {
  readonly selfId: () => string;
  readonly generations: Generations;
  readonly vouches: Vouches;
  /** The floor of a service; undefined if the service isn't known. */
  readonly floorOf: (service: string) => number | undefined;
  readonly metrics: Metrics;
}

interface Told {
  readonly report: InstanceReport;
  readonly atMs: number;
}

interface Duty {
  readonly generation: number;
  /** No permits before this: earlier ones may still be in use. */
  readonly openAtMs: number;
}

interface Watched {
  readonly told: Map<string, Told>;
  /** When each permit is surely void, by instance. */
  readonly permits: Map<string, number>;
}

/** Older reports count for nothing. */
const REPORT_FRESH_MS = 2500;

/** Permits ejections, and knows how siblings fare. */
export class FloorAuthority {
  readonly #options: FloorAuthorityOptions;
  readonly #services = new Map<string, Watched>();
  readonly #duties = new Map<string, Duty>();

  constructor(options: FloorAuthorityOptions) {
    this.#options = options;
  }

  /** Takes in a gate's report and answers its asks. */
  take(report: ServiceReport): ReportReply {
    const watched = this.#watchedOf(report.service);
    const atMs = performance.now();
    report.instances.forEach(instance => {
      watched.told.set(instance.id, {report: instance, atMs});
    });
    forgetOld(watched);
    const baseline = baselineOf(freshReports(watched));
    const mayPermit = this.#isOpen(report.service);
    const asked = report.instances.filter(instance => instance.wantsPermit);
    const permits = mayPermit
      ? asked.filter(({id}) => this.#permit(report.service, id, baseline))
      : [];
    return {permits: permits.map(({id}) => id), mayPermit, baseline};
  }

  #permit(service: string, id: string, baseline: Baseline): boolean {
    const watched = this.#watchedOf(service);
    const floor = this.#options.floorOf(service);
    const suspected = baseline.failing + baseline.slow;
    const isOutlier = suspected * 2 <= baseline.instances;
    const given =
      floor !== undefined &&
      isOutlier &&
      keepsFloor({
        instance: id,
        healthy: healthyOf(watched),
        permitted: new Set(watched.permits.keys()),
        floor,
      });
    const outcome = given ? 'given' : 'refused';
    this.#options.metrics.count('health.permits', {service, outcome});
    if (given) watched.permits.set(id, performance.now() + PERMIT_LAPSE_MS);
    return given;
  }

  /** True while this daemon alone may permit ejections of a service. */
  #isOpen(service: string): boolean {
    const generation = this.#options.generations.current();
    const vouch = this.#options.vouches.current();
    const nowMs = performance.now();
    if (!generation || vouch?.generation !== generation.number) return false;
    if (vouch.validUntilMs <= nowMs) return false;
    const best = rankMembers(service, generation.members)[0];
    if (best?.id !== this.#options.selfId()) return false;
    const movedFromMs = this.#options.generations.movedDutiesFromMs();
    if (movedFromMs === undefined) return false;
    const duty = this.#dutyOf(service, generation.number, movedFromMs);
    return duty.openAtMs <= nowMs;
  }

  /** Keeps the duty over successive generations; else it starts closed. */
  #dutyOf(service: string, generation: number, movedFromMs: number): Duty {
    const last = this.#duties.get(service);
    if (last?.generation === generation) return last;
    const isSuccessive = last?.generation === generation - 1;
    const fromMs = Math.max(movedFromMs, performance.now());
    const openAtMs = isSuccessive ? last.openAtMs : fromMs + PERMIT_LAPSE_MS;
    const duty = {generation, openAtMs};
    this.#duties.set(service, duty);
    return duty;
  }

  #watchedOf(service: string): Watched {
    const known = this.#services.get(service);
    if (known) return known;
    const watched = {told: new Map(), permits: new Map()};
    this.#services.set(service, watched);
    return watched;
  }
}

function forgetOld({told, permits}: Watched): void {
  const nowMs = performance.now();
  [...told.entries()]
    .filter(([, {atMs}]) => nowMs - atMs > REPORT_FRESH_MS)
    .forEach(([id]) => told.delete(id));
  [...permits.entries()]
    .filter(([, untilMs]) => untilMs <= nowMs)
    .forEach(([id]) => permits.delete(id));
}

function freshReports({told}: Watched): readonly InstanceReport[] {
  return [...told.values()].map(({report}) => report);
}

function healthyOf(watched: Watched): ReadonlySet<string> {
  const healthy = freshReports(watched).filter(
    report => report.state === 'full',
  );
  return new Set(healthy.map(report => report.id));
}
