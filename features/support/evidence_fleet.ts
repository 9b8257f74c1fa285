/**
 * Daemons that share evidence about fingerprints, without a network: only the
 * guards, and records that pass between them at once. The tests set the time.
 */
import {
  QueryOfDeathGuard,
  type FingerprintRecord,
} from '../../src/mesh/router/query_of_death.js';
import {SILENT_LOG} from './silent_log.js';

const METRICS = {recordQuarantine: () => undefined};

export class EvidenceFleet {
  readonly guards: QueryOfDeathGuard[] = [];
  /** Whether daemons hear of each other. */
  isConnected = true;
  /** The same on all daemons. */
  nowMs = 100_000;

  /** Adds a daemon, which learns what the others know. */
  add(): void {
    const guard = new QueryOfDeathGuard({
      isEnabled: true,
      log: SILENT_LOG,
      metrics: METRICS,
      onEvidence: record => {
        if (this.isConnected) this.#deliver(guard, record);
      },
    });
    this.guards.push(guard);
    if (this.isConnected) this.exchange();
  }

  guard(index: number): QueryOfDeathGuard {
    const guard = this.guards[index];
    if (!guard) throw new Error(`no daemon ${index}`);
    return guard;
  }

  /** Each daemon sends all that it knows to all others, as on connecting. */
  exchange(): void {
    this.guards.forEach(guard =>
      guard.records(this.nowMs).forEach(record => this.#deliver(guard, record)),
    );
  }

  #deliver(from: QueryOfDeathGuard, record: FingerprintRecord): void {
    this.guards
      .filter(guard => guard !== from)
      .forEach(guard => guard.merge(record, this.nowMs));
  }
}
