/**
 * Estimates the load that other clients put on an instance: the busy slots in
 * the instance's load report minus the requests that the gate itself has in
 * flight there. A report that stays the same while the gate's own count
 * changes is considered stuck and is ignored.
 */

/** Unchanged reports, each with a changed own count, until one is stuck. */
const STUCK_AFTER_REPORTS = 3;

/** The estimate for one instance. */
export class ForeignLoadEstimate {
  #lastReported: number | undefined;
  #lastOwnBusy = 0;
  #unchangedReports = 0;
  #foreignSlots = 0;

  /** Adds a report; `ownBusy` is the number of the gate's own requests. */
  update(reported: number | undefined, ownBusy: number): void {
    if (reported === undefined) return;
    const hasOwnChanged = ownBusy !== this.#lastOwnBusy;
    if (reported !== this.#lastReported) this.#unchangedReports = 0;
    else if (hasOwnChanged) this.#unchangedReports += 1;
    this.#lastReported = reported;
    this.#lastOwnBusy = ownBusy;
    this.#foreignSlots = Math.max(0, reported - ownBusy);
  }

  /** Slots kept busy by other clients; 0 if the report is stuck. */
  get foreignSlots(): number {
    return this.#unchangedReports >= STUCK_AFTER_REPORTS
      ? 0
      : this.#foreignSlots;
  }
}
