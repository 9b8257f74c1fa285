/**
 * How long work will wait for a slot: from how long slots were held of late.
 * Work that would wait in vain is refused at once, with the time after which
 * coming back helps.
 */

/** Weight of the newest sample. */
const WEIGHT = 0.3;

/** The estimate for one service at one gate. */
export class DrainEstimate {
  #heldMs: number | undefined;

  /** A slot was held for this long. */
  add(heldMs: number): void {
    const last = this.#heldMs ?? heldMs;
    this.#heldMs = last + (heldMs - last) * WEIGHT;
  }

  /** How long a slot is usually held, in milliseconds; 0 while unknown. */
  get usualMs(): number {
    return this.#heldMs ?? 0;
  }

  /** Milliseconds until the turn after `ahead` others, if none is free now. */
  waitMs(ahead: number, slots: number): number {
    if (this.#heldMs === undefined || slots <= 0) return 0;
    return ((ahead + 1) * this.#heldMs) / slots;
  }
}
