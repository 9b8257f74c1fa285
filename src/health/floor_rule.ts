/** The rules that keep ejection from taking a service below its floor. */

/** What the authority knows when it is asked for a permit. */
export interface FloorCheck {
  /** The instance that is to be ejected. */
  readonly instanceId: string;
  /** Instances that fresh reports call fully healthy and in service. */
  readonly healthyIds: ReadonlySet<string>;
  /** Instances with a permit that may still be in use. */
  readonly permittedIds: ReadonlySet<string>;
  /** Instances that ejection must leave in service. */
  readonly floor: number;
}

/** True if the floor holds with this instance ejected too. */
export function isFloorKept(check: FloorCheck): boolean {
  const {
    instanceId: instance,
    healthyIds: healthy,
    permittedIds: permitted,
    floor,
  } = check;
  const remaining = [...healthy].filter(
    id => id !== instance && !permitted.has(id),
  );
  return remaining.length >= floor;
}
