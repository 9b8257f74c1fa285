/**
 * Messages of outlier detection between daemons. A gate reports its instances
 * of one service to the authority over the floor of that service. The reply
 * contains statistics over all instances of the service and the permitted
 * ejections.
 */
import type {Exchange} from '../wire/messages.js';
import type {MethodClass} from './health_view.js';

/** What an instance is suspected of. */
export type Suspicion = 'none' | 'failing' | 'slow';

/** The report of a gate on one instance. */
export interface InstanceReport {
  readonly id: string;
  readonly state: 'full' | 'reduced' | 'ejected' | 'draining';
  readonly suspicion: Suspicion;
  /** The gate requests a permit to eject it, or to keep it ejected. */
  readonly wantsPermit: boolean;
  /** Number of exchanges that ended recently. */
  readonly samples: number;
  /** Share of those that failed, 0 to 1. */
  readonly failureShare: number;
  /** Share of those that were slow compared with siblings, 0 to 1. */
  readonly slowShare: number;
  /** Median latency of recent exchanges, by class. */
  readonly medianMs: Readonly<Partial<Record<MethodClass, number>>>;
}

/** The report of a gate on its instances of one service. */
export interface ServiceReport {
  readonly service: string;
  readonly gate: string;
  readonly instances: readonly InstanceReport[];
}

/** Fleet-wide statistics over the instances of a service. */
export interface Baseline {
  /** Instances that are not draining. */
  readonly instances: number;
  readonly failing: number;
  readonly slow: number;
  /** The shares and latencies are medians over the instances. */
  readonly failureShare: number;
  readonly slowShare: number;
  readonly medianMs: Readonly<Partial<Record<MethodClass, number>>>;
}

/** The reply to a report. */
export interface ReportReply {
  /** IDs of instances that may be ejected for the lifetime of a permit. */
  readonly permits: readonly string[];
  /** False if the daemon that replies may give no permits at present. */
  readonly mayPermit: boolean;
  readonly baseline: Baseline;
}

/** Message kinds of outlier detection. */
export interface HealthMessages {
  readonly 'health.report': Exchange<ServiceReport, ReportReply>;
}
