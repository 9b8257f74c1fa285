/** Records the revision in force on each daemon across restarts and faults. */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from './fleet.js';

const POLL_MS = 40;

/** The sequence of revisions that was in force on each daemon. */
export class RevisionLog {
  readonly #fleet: Fleet;
  readonly #seen = new Map<string, readonly number[]>();
  #running = true;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    void this.#run();
  }

  stop(): void {
    this.#running = false;
  }

  /** Daemons whose revision in force decreased, with the revisions seen. */
  findFalls(): readonly string[] {
    return [...this.#seen]
      .filter(([, seen]) => seen.some((r, i) => r < (seen[i - 1] ?? 0)))
      .map(([id, seen]) => `${id}: ${seen.join(' ')}`);
  }

  /** Ignores revision 0: a daemon with none in force serves nothing. */
  #record(id: string, revision: number): void {
    const seen = this.#seen.get(id) ?? [];
    if (revision === 0 || seen.at(-1) === revision) return;
    this.#seen.set(id, [...seen, revision]);
  }

  async #run(): Promise<void> {
    while (this.#running) {
      const ids = [...this.#fleet.daemons.keys()];
      await Promise.all(
        ids.map(async id => {
          const status = await this.#fleet.status(id).catch(() => undefined);
          if (status) this.#record(id, status.revision);
        }),
      );
      await sleep(POLL_MS);
    }
  }
}
