/**
 * Reports the instances of this daemon's gate to the daemons that watch over
 * their services, and brings back permits and siblings' statistics.
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

/** Options of {@link Reporter}. */
export interface ReporterOptions {
  readonly links: Links;
  readonly membership: Membership;
  readonly generations: Generations;
  /** Answers a report on this daemon itself. */
  readonly takeReport: (report: ServiceReport) => ReportReply;
  /** Called with each reply; `sentAtMs` is when the report was sent. */
  readonly onReply: (
    report: ServiceReport,
    reply: ReportReply,
    sentAtMs: number,
  ) => void;
  readonly log: Logger;
}

interface Correspondence {
  sentAtMs: number;
  /** What was sent last, as far as it is urgent. */
  urgent: string;
  open: boolean;
  /** The best daemon didn't answer; the next is asked until then. */
  avoidBestUntilMs: number;
  baseline: Baseline | undefined;
  baselineAtMs: number;
}

const REPORT_INTERVAL_MS = 1000;
const SUSPICIOUS_INTERVAL_MS = 100;
const URGENT_INTERVAL_MS = 100;
const REPORT_TIMEOUT_MS = 400;
const AVOID_MS = 3000;
const BASELINE_FRESH_MS = 2500;

/** The reports of one daemon, one exchange at a time for each service. */
export class Reporter {
  readonly #options: ReporterOptions;
  readonly #services = new Map<string, Correspondence>();

  constructor(options: ReporterOptions) {
    this.#options = options;
  }

  /** Siblings' statistics, or undefined if they are not fresh. */
  baseline(service: string): Baseline | undefined {
    const known = this.#services.get(service);
    if (!known) return undefined;
    const ageMs = performance.now() - known.baselineAtMs;
    return ageMs < BASELINE_FRESH_MS ? known.baseline : undefined;
  }

  /** Sends the report of a service if one is due. */
  report(service: string, instances: readonly InstanceReport[]): void {
    const known = this.#correspondence(service);
    const urgent = urgentPart(instances);
    const isSuspicious = instances.some(i => i.suspicion !== 'none');
    const ageMs = performance.now() - known.sentAtMs;
    const usualMs = isSuspicious ? SUSPICIOUS_INTERVAL_MS : REPORT_INTERVAL_MS;
    const dueMs = urgent === known.urgent ? usualMs : URGENT_INTERVAL_MS;
    if (known.open || ageMs < dueMs) return;
    known.urgent = urgent;
    void this.#send({service, gate: this.#selfId(), instances}, known);
  }

  async #send(report: ServiceReport, known: Correspondence): Promise<void> {
    known.open = true;
    known.sentAtMs = performance.now();
    const sentAtMs = known.sentAtMs;
    const target = this.#target(report.service, known);
    try {
      const reply = await this.#ask(target, report);
      known.baseline = reply.baseline;
      known.baselineAtMs = performance.now();
      this.#options.onReply(report, reply, sentAtMs);
    } catch (err) {
      known.avoidBestUntilMs = performance.now() + AVOID_MS;
      this.#options.log.debug(`No answer on health: ${reasonOf(err)}.`);
    } finally {
      known.open = false;
    }
  }

  #ask(
    target: {readonly id: string; readonly peersAddress: string},
    report: ServiceReport,
  ): Promise<ReportReply> {
    if (target.id === this.#selfId()) {
      return Promise.resolve(this.#options.takeReport(report));
    }
    return this.#options.links.call(
      target.peersAddress,
      'health.report',
      report,
      REPORT_TIMEOUT_MS,
    );
  }

  /** The authority; for a while the next best if that is silent. */
  #target(service: string, known: Correspondence) {
    const {generations, membership} = this.#options;
    const members = generations.current()?.members ?? membership.members();
    const ranked = rankMembers(service, members);
    const avoid = performance.now() < known.avoidBestUntilMs;
    const alive = ranked
      .slice(1)
      .find(({id}) => membership.member(id) !== undefined);
    const best = ranked[0] ?? membership.self();
    return avoid ? (alive ?? best) : best;
  }

  #correspondence(service: string): Correspondence {
    const known = this.#services.get(service);
    if (known) return known;
    const fresh: Correspondence = {
      sentAtMs: 0,
      urgent: '',
      open: false,
      avoidBestUntilMs: 0,
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

/** The part of a report that can't wait. */
function urgentPart(instances: readonly InstanceReport[]): string {
  return instances
    .map(i => `${i.id} ${i.state} ${i.suspicion} ${i.wantsPermit}`)
    .join('\n');
}
