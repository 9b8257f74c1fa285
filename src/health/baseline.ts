/**
 * Statistics over all instances of one service, computed from the reports of
 * the gates in front of them.
 */
import type {Baseline, InstanceReport} from './messages.js';
import {lowerMedian} from './recent_samples.js';
import type {MethodClass} from './health_view.js';

/** Computes the baseline of a service from the reports on its instances. */
export function computeBaseline(reports: readonly InstanceReport[]): Baseline {
  const active = reports.filter(report => report.state !== 'draining');
  const sampled = active.filter(report => report.samples > 0);
  const countSuspected = (suspicion: InstanceReport['suspicion']) =>
    active.filter(report => report.suspicion === suspicion).length;
  return {
    instances: active.length,
    failing: countSuspected('failing'),
    slow: countSuspected('slow'),
    failureShare: lowerMedian(sampled.map(r => r.failureShare)) ?? 0,
    slowShare: lowerMedian(sampled.map(r => r.slowShare)) ?? 0,
    medianMs: {
      read: medianOfClass(active, 'read'),
      write: medianOfClass(active, 'write'),
    },
  };
}

function medianOfClass(
  reports: readonly InstanceReport[],
  methodClass: MethodClass,
): number | undefined {
  const medians = reports
    .map(report => report.medianMs[methodClass])
    .filter(medianMs => medianMs !== undefined);
  return lowerMedian(medians);
}
