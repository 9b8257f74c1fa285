/**
 * What a vendor's load report is worth. The gate knows how much work it gave
 * an instance; a report tells it of the work of others. One that stays the
 * same while the gate's own count changes is stuck and is ignored.
 */
const STUCK_AFTER_REPORTS = 3;

/** The load reports of one instance. */
export class ForeignLoadEstimate {
  #lastReported: number | undefined;
  #lastOwnBusy = 0;
  #unchangedReports = 0;
  #foreignSlots = 0;

  /** Takes in a report; `own` is what the gate has there at the moment. */
  update(reported: number | undefined, ownBusy: number): void {
    if (reported === undefined) return;
    const hasOwnChanged = ownBusy !== this.#lastOwnBusy;
    if (reported !== this.#lastReported) this.#unchangedReports = 0;
    else if (hasOwnChanged) this.#unchangedReports += 1;
    this.#lastReported = reported;
    this.#lastOwnBusy = ownBusy;
    this.#foreignSlots = Math.max(0, reported - ownBusy);
  }

  /** Slots that others keep busy, 0 if the report is stuck. */
  get foreignSlots(): number {
    return this.#unchangedReports >= STUCK_AFTER_REPORTS
      ? 0
      : this.#foreignSlots;
  }
}
