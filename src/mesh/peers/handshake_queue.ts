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
/** More failed attempts than this don't put a peer further back. */
const MAX_RANK = 3;

/** Begins handshakes in turn; those that failed least often come first. */
export class HandshakeQueue {
  readonly #queue = new PQueue({concurrency: CONCURRENCY});

  /**
   * Runs a handshake when it is its turn. Peers with as many failed attempts
   * come in random order, so that daemons don't all begin with the same one.
   * Begins nothing if the signal is aborted by then.
   */
  async run(
    handshake: () => Promise<void>,
    failedAttempts: number,
    signal: AbortSignal,
  ): Promise<void> {
    const priority = Math.random() - Math.min(MAX_RANK, failedAttempts);
    // The queue would leave a listener on a signal that is passed to it.
    const turn = async () => {
      if (!signal.aborted) await endOfTurn(handshake());
    };
    await this.#queue.add(turn, {priority});
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
