/** Waits until the duties are divided among all daemons of a test. */
import {until, type Fleet} from './fleet.js';

/** Allows for several generations, since daemons join one by one. */
const IN_FORCE_TIMEOUT_MS = 40_000;

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
  await until('the generation is in force', isInForce, IN_FORCE_TIMEOUT_MS);
}
