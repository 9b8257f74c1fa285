/**
 * Tokens that are void after a while. However many pools the tokens of a
 * limit lie in, no more of them can be used in a window than were made in it
 * and in one lifetime before it.
 */

/** Tokens that are void at the same time. */
interface Lot {
  tokens: number;
  readonly voidAtMs: number;
}

/** One pool. */
export class TokenPool {
  #lots: readonly Lot[] = [];
  /** Used without asking, and not yet taken off. */
  #debt = 0;

  /** How many lots it holds; those that are void since may be among them. */
  get size(): number {
    return this.#lots.length;
  }

  /** Adds tokens; debts are taken off first. */
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

  /** Notes tokens that are used whether they are there or not. */
  owe(tokens: number, nowMs: number): void {
    const covered = Math.min(tokens, this.levelAt(nowMs));
    this.#remove(covered);
    this.#debt += tokens - covered;
  }

  /** Takes one token if it is there. */
  take(nowMs: number): boolean {
    if (this.levelAt(nowMs) < 1) return false;
    this.#remove(1);
    return true;
  }

  /** Tokens that can be taken. */
  levelAt(nowMs: number): number {
    this.#dropVoid(nowMs);
    return this.#lots.reduce((sum, {tokens}) => sum + tokens, 0);
  }

  #dropVoid(nowMs: number): void {
    this.#lots = this.#lots.filter(({voidAtMs}) => voidAtMs > nowMs);
  }

  /** Removes tokens that are there, those that are void first. */
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
