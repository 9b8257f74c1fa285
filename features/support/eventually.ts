/** Waits for what a step expects to become true. */
import assert from 'node:assert/strict';

const POLL_MS = 10;

/** Resolves when `isTrue`; fails if it isn't so within the time. */
export async function eventually(
  isTrue: () => boolean | Promise<boolean>,
  withinMs: number,
): Promise<void> {
  const endAtMs = performance.now() + withinMs;
  while (!(await isTrue())) {
    assert.ok(performance.now() < endAtMs, `not so within ${withinMs} ms`);
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}
