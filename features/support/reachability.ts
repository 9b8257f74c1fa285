/**
 * Who reaches whom among the daemons of a test without a network: some are
 * down, some cut off together, and some take another one as silent for a while.
 */

/** Reachability in virtual time. */
export class Reachability {
  readonly #ids: readonly string[];
  readonly #now: () => number;
  readonly #down = new Set<string>();
  readonly #cut = new Set<string>();
  /** Until when a daemon, the first, takes another one as silent. */
  readonly #silentUntilMs = new Map<string, number>();

  constructor(ids: readonly string[], now: () => number) {
    this.#ids = ids;
    this.#now = now;
  }

  takeDown(id: string): void {
    this.#down.add(id);
  }

  isDown(id: string): boolean {
    return this.#down.has(id);
  }

  /** Cuts the first `count` daemons off from the others; 0 heals. */
  cutOff(count: number): void {
    this.#cut.clear();
    this.#ids.slice(0, count).forEach(id => this.#cut.add(id));
  }

  /** One daemon takes another one as silent; itself it never does. */
  silence(id: string, other: string, forMs: number): void {
    if (id === other) return;
    this.#silentUntilMs.set(`${id} ${other}`, this.#now() + forMs);
  }

  /** Whom a daemon reaches now. */
  from(id: string): readonly string[] {
    return this.#ids.filter(
      other =>
        other !== id &&
        !this.#down.has(other) &&
        this.#cut.has(other) === this.#cut.has(id) &&
        (this.#silentUntilMs.get(`${id} ${other}`) ?? 0) <= this.#now(),
    );
  }
}
