/** Rules for vouches, as pure functions. */

/** A witness vouches only after recovery, for a generation it is ready for. */
export function mayVouch(
  recovered: boolean,
  readyFor: number,
  generation: number,
): boolean {
  return recovered && readyFor === generation;
}

/**
 * When a vouch expires: its lifetime counts from the sending of the oldest
 * request that is needed for a majority. `undefined` without a majority.
 */
export function validUntil(
  sentAtMs: readonly number[],
  needed: number,
  lifetimeMs: number,
): number | undefined {
  const oldestNeeded = sentAtMs.toSorted((a, b) => b - a)[needed - 1];
  return oldestNeeded === undefined ? undefined : oldestNeeded + lifetimeMs;
}
