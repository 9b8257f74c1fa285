/**
 * Bounds how many handshakes with peers a daemon has in progress. Daemons that
 * start together would otherwise begin all handshakes of the fleet at once, and
 * none would end before its timeout.
 *
 * Designed for restarts of a whole fleet on scarce processor time.
 */
import PQueue from 'p-queue';
import {ResponseTimeout} from '../../timing/response_timeout.js';

const CONCURRENCY = 4;
/**
 * A handshake that takes longer goes on, but makes room for the next one, so
 * that peers that don't respond hold up the others only briefly.
 */
const MAX_TURN_MS = 250;

/** Begins handshakes in turn; those that failed least often come first. */
export class HandshakeQueue {
  readonly #queue = new PQueue({concurrency: CONCURRENCY});

  /**
   * Runs a handshake when it is its turn. Peers with as many failed attempts
   * come in random order, so that daemons don't all begin with the same one.
   * Rejects if the signal is aborted before.
   */
  async run(
    handshake: () => Promise<void>,
    failedAttempts: number,
    signal: AbortSignal,
  ): Promise<void> {
    const priority = Math.random() - failedAttempts;
    await this.#queue.add(() => endOfTurn(handshake()), {priority, signal});
  }
}

/** Resolves when the handshake has ended, or its turn is over. */
async function endOfTurn(handshake: Promise<void>): Promise<void> {
  let timeout: ResponseTimeout | undefined;
  const turn = new Promise<void>(resolve => {
    timeout = new ResponseTimeout(MAX_TURN_MS, resolve);
  });
  await Promise.race([handshake, turn]);
  timeout?.cancel();
}
