/** The rules that keep ejection from taking a service below its floor. */

/** What the authority knows when it is asked for a permit. */
export interface FloorSituation {
  /** The instance that is to be ejected. */
  readonly instance: string;
  /** Instances that fresh reports call fully healthy and in service. */
  readonly healthy: ReadonlySet<string>;
  /** Instances with a permit that may still be in use. */
  readonly permitted: ReadonlySet<string>;
  /** Instances that ejection must leave in service. */
  readonly floor: number;
}

/** True if the floor holds with this instance ejected too. */
export function keepsFloor(situation: FloorSituation): boolean {
  const {instance, healthy, permitted, floor} = situation;
  const left = [...healthy].filter(id => id !== instance && !permitted.has(id));
  return left.length >= floor;
}
