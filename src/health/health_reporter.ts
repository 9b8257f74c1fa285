/**
 * Sends reports on the instances of this daemon's gate to the authorities over
 * the floors of their services. The replies carry permits to eject and
 * statistics over the siblings behind other gates.
 */
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Generations} from '../member/generation.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import {rankMembers} from '../member/rendezvous.js';
import type {
  Baseline,
  InstanceReport,
  ReportReply,
  ServiceReport,
} from './messages.js';

/** Options of {@link HealthReporter}. */
export interface HealthReporterOptions {
  readonly links: Links;
  readonly membership: Membership;
  readonly generations: Generations;
  /** Handles a report if this daemon is its target. */
  readonly handleReport: (report: ServiceReport) => ReportReply;
  /** Called with each reply; `sentAtMs` is when the report was sent. */
  readonly onReply: (
    report: ServiceReport,
    reply: ReportReply,
    sentAtMs: number,
  ) => void;
  readonly log: Logger;
}

/** State of the reports on one service. */
interface ReportState {
  sentAtMs: number;
  /** The part of the last report whose change makes the next one urgent. */
  lastUrgentPart: string;
  isInFlight: boolean;
  /**
   * Until then reports go to the next daemon in rank, since the authority
   * didn't reply.
   */
  avoidAuthorityUntilMs: number;
  baseline: Baseline | undefined;
  baselineAtMs: number;
}

const REPORT_INTERVAL_MS = 1000;
const SUSPECT_INTERVAL_MS = 100;
const URGENT_INTERVAL_MS = 100;
const REPORT_TIMEOUT_MS = 400;
const AVOID_AUTHORITY_MS = 3000;
const BASELINE_FRESH_MS = 2500;

/** Sends the reports of one daemon, one at a time for each service. */
export class HealthReporter {
  readonly #options: HealthReporterOptions;
  readonly #services = new Map<string, ReportState>();

  constructor(options: HealthReporterOptions) {
    this.#options = options;
  }

  /** Statistics over the siblings, or undefined if they are not fresh. */
  baseline(service: string): Baseline | undefined {
    const state = this.#services.get(service);
    if (!state) return undefined;
    const ageMs = performance.now() - state.baselineAtMs;
    return ageMs < BASELINE_FRESH_MS ? state.baseline : undefined;
  }

  /** Sends the report of a service if one is due. */
  sendIfDue(service: string, instances: readonly InstanceReport[]): void {
    const state = this.#stateFor(service);
    const urgent = urgentPart(instances);
    const hasSuspect = instances.some(i => i.suspicion !== 'none');
    const ageMs = performance.now() - state.sentAtMs;
    const intervalMs = hasSuspect ? SUSPECT_INTERVAL_MS : REPORT_INTERVAL_MS;
    const dueMs =
      urgent === state.lastUrgentPart ? intervalMs : URGENT_INTERVAL_MS;
    if (state.isInFlight || ageMs < dueMs) return;
    state.lastUrgentPart = urgent;
    void this.#send({service, gate: this.#selfId(), instances}, state);
  }

  async #send(report: ServiceReport, state: ReportState): Promise<void> {
    state.isInFlight = true;
    state.sentAtMs = performance.now();
    const sentAtMs = state.sentAtMs;
    const target = this.#chooseTarget(report.service, state);
    try {
      const reply = await this.#sendTo(target, report);
      state.baseline = reply.baseline;
      state.baselineAtMs = performance.now();
      this.#options.onReply(report, reply, sentAtMs);
    } catch (err) {
      state.avoidAuthorityUntilMs = performance.now() + AVOID_AUTHORITY_MS;
      this.#options.log.debug(
        `Health report was not answered: ${reasonOf(err)}.`,
      );
    } finally {
      state.isInFlight = false;
    }
  }

  #sendTo(
    target: {readonly id: string; readonly peersAddress: string},
    report: ServiceReport,
  ): Promise<ReportReply> {
    if (target.id === this.#selfId()) {
      return Promise.resolve(this.#options.handleReport(report));
    }
    return this.#options.links.call(
      target.peersAddress,
      'health.report',
      report,
      REPORT_TIMEOUT_MS,
    );
  }

  /** The authority, or after a timeout the next live daemon in rank. */
  #chooseTarget(service: string, state: ReportState) {
    const {generations, membership} = this.#options;
    const members = generations.current()?.members ?? membership.members();
    const ranked = rankMembers(service, members);
    const isAuthorityAvoided = performance.now() < state.avoidAuthorityUntilMs;
    const nextAlive = ranked
      .slice(1)
      .find(({id}) => membership.member(id) !== undefined);
    const authority = ranked[0] ?? membership.self();
    return isAuthorityAvoided ? (nextAlive ?? authority) : authority;
  }

  #stateFor(service: string): ReportState {
    const state = this.#services.get(service);
    if (state) return state;
    const fresh: ReportState = {
      sentAtMs: 0,
      lastUrgentPart: '',
      isInFlight: false,
      avoidAuthorityUntilMs: 0,
      baseline: undefined,
      baselineAtMs: 0,
    };
    this.#services.set(service, fresh);
    return fresh;
  }

  #selfId(): string {
    return this.#options.membership.self().id;
  }
}

/** The fields whose change is reported without waiting for the interval. */
function urgentPart(instances: readonly InstanceReport[]): string {
  return instances
    .map(i => `${i.id} ${i.state} ${i.suspicion} ${i.wantsPermit}`)
    .join('\n');
}
