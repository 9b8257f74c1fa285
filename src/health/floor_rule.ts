/** The rule that ejection never takes a service below its floor. */

/** The data from which the authority decides on a permit. */
export interface FloorCheck {
  /** The instance that is to be ejected. */
  readonly instanceId: string;
  /** Instances that are at grade `full` according to fresh reports. */
  readonly healthyIds: ReadonlySet<string>;
  /** Instances with a permit that may still be in use. */
  readonly permittedIds: ReadonlySet<string>;
  /** Instances that ejection must leave in service. */
  readonly floor: number;
}

/** True if the floor still holds with this instance ejected as well. */
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
