/** Graceful shutdown of an HTTP server: requests in flight are completed. */
import type {Server} from 'node:http';
import {Server as TcpServer} from 'node:net';
import {setImmediate as nextEventLoopTurn} from 'node:timers/promises';

/** In an event loop turn this short hardly any connection can arrive. */
const SHORT_TURN_MS = 0.2;
/** Limit of turns, so that the server also closes in a process that is busy. */
const MAX_TURNS = 1000;

/**
 * Accepts no new connections and resolves when the open ones have ended. Idle
 * connections aren't closed, since a request may be on its way on any of them;
 * they end by their timeout or after their next response.
 */
export async function drainServer(server: Server): Promise<void> {
  await waitForPendingAccepts(server);
  await new Promise<void>(resolve => {
    TcpServer.prototype.close.call(server, () => resolve());
  });
}

/**
 * Closing a listener resets connections that the kernel has established and
 * this process hasn't accepted yet. Resolves right after a short turn of the
 * event loop without a connection to accept; each turn accepts one.
 */
async function waitForPendingAccepts(server: Server): Promise<void> {
  let accepted = 0;
  const countConnection = () => {
    accepted += 1;
  };
  server.on('connection', countConnection);
  await nextEventLoopTurn();
  for (let turns = 0; turns < MAX_TURNS; turns += 1) {
    const acceptedBefore = accepted;
    const startedAtMs = performance.now();
    await nextEventLoopTurn();
    const isShort = performance.now() - startedAtMs <= SHORT_TURN_MS;
    if (isShort && accepted === acceptedBefore) break;
  }
  server.off('connection', countConnection);
}
