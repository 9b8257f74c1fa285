/**
 * Watches the grades that daemons give their instances, and compares them
 * with which instances really fail.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Fleet} from '../../features/support/fleet.js';

/** When failing instances were found, and which others were ejected. */
export interface GradeMeasures {
  /** Milliseconds until the grade fell, by instance; null if it never did. */
  readonly detectMs: Readonly<Record<string, number | null>>;
  /** Healthy instances that were ejected at any time. */
  readonly ejectedByMistake: readonly string[];
}

const SAMPLE_INTERVAL_MS = 100;

/** Samples the status of every daemon until it is stopped. */
export class GradeWatch {
  readonly #fleet: Fleet;
  readonly #failingSinceMs = new Map<string, number>();
  readonly #foundAtMs = new Map<string, number>();
  readonly #mistakes = new Set<string>();
  #running = true;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  /** From now on this instance fails real work. */
  markFailing(id: string): void {
    if (this.#failingSinceMs.has(id)) return;
    this.#failingSinceMs.set(id, performance.now());
  }

  async run(): Promise<void> {
    while (this.#running) {
      await Promise.all(
        [...this.#fleet.daemons.keys()].map(id =>
          this.#sample(id).catch(() => undefined),
        ),
      );
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }

  stop(): GradeMeasures {
    this.#running = false;
    const detectMs = [...this.#failingSinceMs].map(([id, sinceMs]) => {
      const foundMs = this.#foundAtMs.get(id);
      return [id, foundMs === undefined ? null : Math.round(foundMs - sinceMs)];
    });
    return {
      detectMs: Object.fromEntries(detectMs) as GradeMeasures['detectMs'],
      ejectedByMistake: [...this.#mistakes].toSorted(),
    };
  }

  async #sample(daemon: string): Promise<void> {
    const {health} = await this.#fleet.status(daemon);
    health
      .filter(({grade}) => grade !== 'full')
      .forEach(({instance, grade}) => {
        const isFailing = this.#failingSinceMs.has(instance);
        if (isFailing && !this.#foundAtMs.has(instance)) {
          this.#foundAtMs.set(instance, performance.now());
        }
        if (!isFailing && grade === 'ejected') this.#mistakes.add(instance);
      });
  }
}
