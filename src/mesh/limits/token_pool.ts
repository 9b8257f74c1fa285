/**
 * A pool of tokens that expire. Even if the tokens of a limit are spread over
 * several pools, a window can use only as many as were issued in it and in one
 * token lifetime before it.
 */

/** Tokens that expire at the same time. */
interface Lot {
  tokens: number;
  readonly voidAtMs: number;
}

/** A pool of expiring tokens. */
export class TokenPool {
  #lots: readonly Lot[] = [];
  /** Tokens that were used before they were available. */
  #debt = 0;

  /** Number of lots, possibly including expired ones. */
  get size(): number {
    return this.#lots.length;
  }

  /** Adds tokens; they pay off the debt first. */
  add(tokens: number, voidAtMs: number, nowMs: number): void {
    this.#dropVoid(nowMs);
    const paid = Math.min(tokens, this.#debt);
    this.#debt -= paid;
    if (tokens === paid) return;
    const lot = {tokens: tokens - paid, voidAtMs};
    this.#lots = [...this.#lots, lot].toSorted(
      (a, b) => a.voidAtMs - b.voidAtMs,
    );
  }

  /** Deducts tokens that were already used; a shortfall becomes debt. */
  owe(tokens: number, nowMs: number): void {
    const covered = Math.min(tokens, this.levelAt(nowMs));
    this.#remove(covered);
    this.#debt += tokens - covered;
  }

  /** Takes one token if one is available. */
  take(nowMs: number): boolean {
    if (this.levelAt(nowMs) < 1) return false;
    this.#remove(1);
    return true;
  }

  /** Number of tokens that can be taken. */
  levelAt(nowMs: number): number {
    this.#dropVoid(nowMs);
    return this.#lots.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  #dropVoid(nowMs: number): void {
    this.#lots = this.#lots.filter(({voidAtMs}) => voidAtMs > nowMs);
  }

  /** Removes available tokens, the soonest to expire first. */
  #remove(tokens: number): void {
    let left = tokens;
    this.#lots.forEach(lot => {
      const part = Math.min(lot.tokens, left);
      lot.tokens -= part;
      left -= part;
    });
    this.#lots = this.#lots.filter(lot => lot.tokens > 0);
  }
}
