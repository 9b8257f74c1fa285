/**
 * What a vendor's load report is worth. The gate knows how much work it gave
 * an instance; a report tells it of the work of others. One that stays the
 * same while the gate's own count changes is stuck and is ignored.
 */
const STUCK_AFTER = 3;

/** The load reports of one instance. */
export class LoadHint {
  #last: number | undefined;
  #lastOwn = 0;
  #unmoved = 0;
  #foreign = 0;

  /** Takes in a report; `own` is what the gate has there at the moment. */
  take(reported: number | undefined, own: number): void {
    if (reported === undefined) return;
    const ownMoved = own !== this.#lastOwn;
    if (reported !== this.#last) this.#unmoved = 0;
    else if (ownMoved) this.#unmoved += 1;
    this.#last = reported;
    this.#lastOwn = own;
    this.#foreign = Math.max(0, reported - own);
  }

  /** Slots that others keep busy, 0 if the report is stuck. */
  get foreignSlots(): number {
    return this.#unmoved >= STUCK_AFTER ? 0 : this.#foreign;
  }
}
