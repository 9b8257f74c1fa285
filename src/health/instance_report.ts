/** What a gate reports of one instance. */
import type {Instance} from '../gate/instances.js';
import type {Grading} from './grading.js';
import type {InstanceReport} from './messages.js';

/** The report of this moment. */
export function reportOf(instance: Instance, grading: Grading): InstanceReport {
  const {samples} = grading.evidence;
  const isDraining = instance.announcement.draining;
  return {
    id: instance.id,
    state: isDraining ? 'draining' : grading.grade,
    suspicion: grading.evidence.rawSuspicion(),
    wantsPermit: !isDraining && grading.wantsPermit,
    samples: samples.recent().length,
    failureShare: samples.share(sample => sample.failed),
    slowShare: samples.share(sample => sample.slow),
    medianMs: {
      read: samples.medianMs('read'),
      write: samples.medianMs('write'),
    },
  };
}
