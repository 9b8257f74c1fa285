/**
 * The authority over the floor of a service (the number of instances that
 * ejection must leave in service): the one daemon that permits ejections of
 * its instances. It ranks first by rendezvous hashing of the service's name
 * over the members of the current generation (the numbered member list). It
 * gives permits only while it holds a valid vouch for that generation, a
 * time-limited confirmation by witnesses that no newer one is in use, so that
 * two daemons never give permits for a service at once. Statistics over the
 * siblings need no authority, so any daemon answers with them.
 */
import type {Generations, Vouches} from '../member/generation.js';
import {rankMembers} from '../member/rendezvous.js';
import type {Metrics} from '../metrics/metrics.js';
import {computeBaseline} from './baseline.js';
import {isFloorKept} from './floor_rule.js';
import type {
  Baseline,
  InstanceReport,
  ReportReply,
  ServiceReport,
} from './messages.js';
import {PERMIT_VOID_MS} from './permit_rule.js';

/** Options of {@link FloorAuthority}. */
export interface FloorAuthorityOptions {
  readonly selfId: () => string;
  readonly generations: Generations;
  readonly vouches: Vouches;
  /** The floor of a service; undefined if the service isn't known. */
  readonly floorOf: (service: string) => number | undefined;
  readonly metrics: Metrics;
}

interface ReceivedReport {
  readonly report: InstanceReport;
  readonly atMs: number;
}

/** The time in which this daemon is the authority over a service. */
interface AuthorityTerm {
  readonly generation: number;
  /** No permits are given before this; earlier ones may still be in use. */
  readonly permitsFromMs: number;
}

interface ServiceState {
  readonly reports: Map<string, ReceivedReport>;
  /** Time from which each permit is certainly void, by instance. */
  readonly permits: Map<string, number>;
}

/** Older reports are discarded. */
const REPORT_FRESH_MS = 2500;

/** Gives permits for ejections, and computes statistics over siblings. */
export class FloorAuthority {
  readonly #options: FloorAuthorityOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #terms = new Map<string, AuthorityTerm>();

  constructor(options: FloorAuthorityOptions) {
    this.#options = options;
  }

  /** Records a gate's report and decides on the permits that it requests. */
  handleReport(report: ServiceReport): ReportReply {
    const state = this.#stateFor(report.service);
    const atMs = performance.now();
    report.instances.forEach(instance => {
      state.reports.set(instance.id, {report: instance, atMs});
    });
    removeExpired(state);
    const baseline = computeBaseline(freshReports(state));
    const mayPermit = this.#mayGrantPermits(report.service);
    const requested = report.instances.filter(instance => instance.wantsPermit);
    const permits = mayPermit
      ? requested.filter(({id}) =>
          this.#tryGrantPermit(report.service, id, baseline),
        )
      : [];
    return {permits: permits.map(({id}) => id), mayPermit, baseline};
  }

  #tryGrantPermit(service: string, id: string, baseline: Baseline): boolean {
    const state = this.#stateFor(service);
    const floor = this.#options.floorOf(service);
    const suspected = baseline.failing + baseline.slow;
    const isOutlier = suspected * 2 <= baseline.instances;
    const isGranted =
      floor !== undefined &&
      isOutlier &&
      isFloorKept({
        instanceId: id,
        healthyIds: findHealthyIds(state),
        permittedIds: new Set(state.permits.keys()),
        floor,
      });
    const outcome = isGranted ? 'given' : 'refused';
    this.#options.metrics.count('health.permits', {service, outcome});
    if (isGranted) state.permits.set(id, performance.now() + PERMIT_VOID_MS);
    return isGranted;
  }

  /** True while this daemon is the only one that may permit ejections. */
  #mayGrantPermits(service: string): boolean {
    const generation = this.#options.generations.current();
    const vouch = this.#options.vouches.current();
    const nowMs = performance.now();
    if (!generation || vouch?.generation !== generation.number) return false;
    if (vouch.validUntilMs <= nowMs) return false;
    const best = rankMembers(service, generation.members)[0];
    if (best?.id !== this.#options.selfId()) return false;
    const movedFromMs = this.#options.generations.movedDutiesFromMs();
    if (movedFromMs === undefined) return false;
    const term = this.#termFor(service, generation.number, movedFromMs);
    return term.permitsFromMs <= nowMs;
  }

  /**
   * The term of this daemon. It goes on over successive generations; a new
   * term starts with a wait until the previous authority's permits are void.
   */
  #termFor(
    service: string,
    generation: number,
    movedFromMs: number,
  ): AuthorityTerm {
    const last = this.#terms.get(service);
    if (last?.generation === generation) return last;
    const isSuccessive = last?.generation === generation - 1;
    const fromMs = Math.max(movedFromMs, performance.now());
    const permitsFromMs = isSuccessive
      ? last.permitsFromMs
      : fromMs + PERMIT_VOID_MS;
    const term = {generation, permitsFromMs};
    this.#terms.set(service, term);
    return term;
  }

  #stateFor(service: string): ServiceState {
    const known = this.#services.get(service);
    if (known) return known;
    const state = {reports: new Map(), permits: new Map()};
    this.#services.set(service, state);
    return state;
  }
}

function removeExpired({reports, permits}: ServiceState): void {
  const nowMs = performance.now();
  [...reports.entries()]
    .filter(([, {atMs}]) => nowMs - atMs > REPORT_FRESH_MS)
    .forEach(([id]) => reports.delete(id));
  [...permits.entries()]
    .filter(([, untilMs]) => untilMs <= nowMs)
    .forEach(([id]) => permits.delete(id));
}

function freshReports({reports}: ServiceState): readonly InstanceReport[] {
  return [...reports.values()].map(({report}) => report);
}

function findHealthyIds(state: ServiceState): ReadonlySet<string> {
  const healthy = freshReports(state).filter(report => report.state === 'full');
  return new Set(healthy.map(report => report.id));
}
