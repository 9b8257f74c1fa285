/**
 * A pool of tokens that expire. Even if the tokens of a limit are spread over
 * several pools, a window can use only as many as were issued in it and in one
 * token lifetime before it.
 */

/** Tokens that expire at the same time. */
interface Lot {
  tokens: number;
  readonly expiresAtMs: number;
}

/** A pool of expiring tokens. */
export class TokenPool {
  #lots: readonly Lot[] = [];
  /** Tokens that were used before they were available. */
  #debt = 0;

  /** Number of lots, possibly including expired ones. */
  get lotCount(): number {
    return this.#lots.length;
  }

  /** Adds tokens; they pay off the debt first. */
  add(tokens: number, expiresAtMs: number, nowMs: number): void {
    this.#dropExpired(nowMs);
    const paidOff = Math.min(tokens, this.#debt);
    this.#debt -= paidOff;
    if (tokens === paidOff) return;
    const lot = {tokens: tokens - paidOff, expiresAtMs};
    this.#lots = [...this.#lots, lot].toSorted(
      (a, b) => a.expiresAtMs - b.expiresAtMs,
    );
  }

  /** Deducts tokens that were already used; a shortfall becomes debt. */
  charge(tokens: number, nowMs: number): void {
    const covered = Math.min(tokens, this.availableAt(nowMs));
    this.#remove(covered);
    this.#debt += tokens - covered;
  }

  /** Takes one token if one is available and `spare` others are left. */
  take(nowMs: number, spare = 0): boolean {
    if (this.availableAt(nowMs) < 1 + spare) return false;
    this.#remove(1);
    return true;
  }

  /** Number of tokens that can be taken. */
  availableAt(nowMs: number): number {
    this.#dropExpired(nowMs);
    return this.#lots.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  #dropExpired(nowMs: number): void {
    this.#lots = this.#lots.filter(({expiresAtMs}) => expiresAtMs > nowMs);
  }

  /** Removes available tokens, the soonest to expire first. */
  #remove(tokens: number): void {
    let left = tokens;
    this.#lots.forEach(lot => {
      const taken = Math.min(lot.tokens, left);
      lot.tokens -= taken;
      left -= taken;
    });
    this.#lots = this.#lots.filter(lot => lot.tokens > 0);
  }
}
