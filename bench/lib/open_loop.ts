/**
 * An open-loop load: requests leave when their time has come, whether or not
 * earlier ones were answered, so that a slow answer can't thin out the load.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';

/** Something that happens at a time after the start, in milliseconds. */
export interface Timed {
  readonly atMs: number;
}

const TICK_MS = 1;
const STEPS = 2 ** 30;

/** Numbers from 0 up to but not 1; the same seed gives the same numbers. */
export function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, STEPS - 1, generator) / STEPS;
}

/** Poisson arrivals at a rate (per second) from `fromMs` until `untilMs`. */
export function arrivalsOf(
  random: () => number,
  ratePerSecond: number,
  fromMs: number,
  untilMs: number,
): readonly number[] {
  const times: number[] = [];
  let atMs = fromMs;
  while (atMs < untilMs) {
    atMs -= (Math.log(1 - random()) / ratePerSecond) * 1000;
    if (atMs < untilMs) times.push(atMs);
  }
  return times;
}

/**
 * Starts each item at its time. Resolves when all have ended, to the longest
 * lag of a start behind its time, in milliseconds.
 */
export async function runOpenLoop<Item extends Timed>(
  items: readonly Item[],
  start: (item: Item) => Promise<void>,
): Promise<number> {
  const sorted = items.toSorted((a, b) => a.atMs - b.atMs);
  const open = new Set<Promise<void>>();
  const beginMs = performance.now();
  let next = 0;
  let lagMs = 0;
  while (next < sorted.length) {
    const nowMs = performance.now() - beginMs;
    for (; (sorted[next]?.atMs ?? Infinity) <= nowMs; next += 1) {
      const item = sorted[next] as Item;
      lagMs = Math.max(lagMs, nowMs - item.atMs);
      const run = start(item).finally(() => open.delete(run));
      open.add(run);
    }
    await sleep(TICK_MS);
  }
  await Promise.all(open);
  return lagMs;
}
