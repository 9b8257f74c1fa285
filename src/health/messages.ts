/**
 * Messages of health: a gate reports its instances of one service to the
 * daemon that watches over the floor of that service, and learns how the
 * siblings behind other gates fare and which ejections are permitted.
 */
import type {Exchange} from '../wire/messages.js';
import type {MethodClass} from './health_view.js';

/** What an instance is suspected of. */
export type Suspicion = 'none' | 'failing' | 'slow';

/** What a gate reports of one instance. */
export interface InstanceReport {
  readonly id: string;
  readonly state: 'full' | 'reduced' | 'ejected' | 'draining';
  readonly suspicion: Suspicion;
  /** The gate asks to eject it, or to keep it ejected. */
  readonly wantsPermit: boolean;
  /** Recent exchanges that ended. */
  readonly samples: number;
  /** Share of those that failed, 0 to 1. */
  readonly failureShare: number;
  /** Share of those that were slow against siblings, 0 to 1. */
  readonly slowShare: number;
  /** Recent median latency of each class, in milliseconds. */
  readonly medianMs: Readonly<Partial<Record<MethodClass, number>>>;
}

/** What a gate reports of one service. */
export interface ServiceReport {
  readonly service: string;
  readonly gate: string;
  readonly instances: readonly InstanceReport[];
}

/** How the instances of a service fare, fleet-wide. */
export interface Baseline {
  readonly instances: number;
  readonly failing: number;
  readonly slow: number;
  /** Medians over the instances. */
  readonly failureShare: number;
  readonly slowShare: number;
  readonly medianMs: Readonly<Partial<Record<MethodClass, number>>>;
}

/** The answer to a report. */
export interface ReportReply {
  /** Instances that may be ejected for a permit's lifetime. */
  readonly permits: readonly string[];
  /** False if the daemon that answers can't permit anything now. */
  readonly mayPermit: boolean;
  readonly baseline: Baseline;
}

/** Kinds of messages of health. */
export interface HealthMessages {
  readonly 'health.report': Exchange<ServiceReport, ReportReply>;
}
