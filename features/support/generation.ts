/** Waits until daemons that started one by one share their duties. */
import {until, type Fleet} from './fleet.js';

/** Daemons that start one by one make several generations. */
const IN_FORCE_MS = 40_000;

/** Resolves once the generation of all daemons is in force on each. */
export async function untilGenerationInForce(fleet: Fleet): Promise<void> {
  const isInForce = async () => {
    const ids = [...fleet.daemons.keys()];
    const statuses = await Promise.all(ids.map(id => fleet.status(id)));
    return statuses.every(
      ({generationInForce, generationMembers}) =>
        generationInForce && generationMembers.length === ids.length,
    );
  };
  await until('the generation is in force', isInForce, IN_FORCE_MS);
}
