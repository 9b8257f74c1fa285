/** What the backend servers of a test say that they ran. */
import type {World} from './world.js';

/** One run at an instance. */
export interface InstanceRun {
  readonly id: string;
  readonly path: string;
  readonly customer: string;
  readonly bodyBytes: number;
  readonly finished: boolean;
}

/** The runs of every instance of the fleet. */
export async function runsOfAll(world: World): Promise<readonly InstanceRun[]> {
  const all = [...world.fleet.instances.values()].map(async ({address}) => {
    const res = await fetch(`http://${address}/ran`);
    return (await res.json()) as readonly InstanceRun[];
  });
  return (await Promise.all(all)).flat();
}
