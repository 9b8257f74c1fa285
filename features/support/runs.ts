/** What the backend servers of a test say that they ran. */
import type {Fleet, TestInstance} from './fleet.js';

/** One run at an instance. */
export interface InstanceRun {
  readonly id: string;
  readonly path: string;
  readonly customer: string;
  /** Wall clock, milliseconds. */
  readonly startedMs: number;
  readonly bodyBytes: number;
  readonly finished: boolean;
}

/** The runs of one instance. */
export async function runsAt({
  address,
}: Pick<TestInstance, 'address'>): Promise<readonly InstanceRun[]> {
  const res = await fetch(`http://${address}/ran`);
  return (await res.json()) as readonly InstanceRun[];
}

/** The runs of every instance of the fleet. */
export async function runsOfAll({
  fleet,
}: {
  readonly fleet: Fleet;
}): Promise<readonly InstanceRun[]> {
  const all = await Promise.all([...fleet.instances.values()].map(runsAt));
  return all.flat();
}
