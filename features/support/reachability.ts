/**
 * Models which daemons reach each other in a simulation without a network. A
 * daemon can be down, be in a group that is cut off from the others, or
 * temporarily consider another daemon unreachable.
 */

/** Reachability among daemons in virtual time. */
export class Reachability {
  readonly #ids: readonly string[];
  readonly #now: () => number;
  readonly #down = new Set<string>();
  readonly #cut = new Set<string>();
  /** When the first daemon of a pair considers the second reachable again. */
  readonly #unreachableUntilMs = new Map<string, number>();

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

  /** Cuts the first `count` daemons off from the others; 0 removes the cut. */
  cutOff(count: number): void {
    this.#cut.clear();
    this.#ids.slice(0, count).forEach(id => this.#cut.add(id));
  }

  /** Makes a daemon consider another one unreachable; ignored for itself. */
  silence(id: string, other: string, forMs: number): void {
    if (id === other) return;
    this.#unreachableUntilMs.set(`${id} ${other}`, this.#now() + forMs);
  }

  /** Ids of the daemons that a daemon reaches now. */
  from(id: string): readonly string[] {
    return this.#ids.filter(
      other =>
        other !== id &&
        !this.#down.has(other) &&
        this.#cut.has(other) === this.#cut.has(id) &&
        (this.#unreachableUntilMs.get(`${id} ${other}`) ?? 0) <= this.#now(),
    );
  }
}
