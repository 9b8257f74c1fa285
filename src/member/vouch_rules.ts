/** The rules that vouches rest on, apart from the tasks that apply them. */

/** A witness vouches only once its knowledge is complete again. */
export function mayVouch(
  recovered: boolean,
  readyFor: number,
  generation: number,
): boolean {
  return recovered && readyFor === generation;
}

/**
 * Until when a vouch holds: the lifetime counts from the sending of the
 * oldest ask that is needed for a majority. `undefined` without a majority.
 */
export function validUntil(
  sentAtMs: readonly number[],
  needed: number,
  lifetimeMs: number,
): number | undefined {
  const oldestNeeded = sentAtMs.toSorted((a, b) => b - a)[needed - 1];
  return oldestNeeded === undefined ? undefined : oldestNeeded + lifetimeMs;
}
