/** Ends a server without cutting a request. */
import type {Server} from 'node:http';
import {Server as TcpServer} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

/** A turn of the event loop that takes no longer leaves hardly a gap. */
const SHORT_TURN_MS = 0.2;
/** Turns that are tried; a process that is always busy closes after them. */
const MAX_TURNS = 1000;

/**
 * Takes no new connections and resolves when the open ones have ended. Idle
 * ones aren't closed, since a request may be on its way on any of them; they
 * end by their timeout or after their next answer.
 */
export async function drainCallers(server: Server): Promise<void> {
  await allAccepted(server);
  await new Promise<void>(resolve => {
    TcpServer.prototype.close.call(server, () => resolve());
  });
}

/**
 * Closing resets connections that the kernel has taken and this process hasn't
 * accepted. Resolves right after a short turn that had none to accept; each
 * turn accepts one.
 */
async function allAccepted(server: Server): Promise<void> {
  let accepted = 0;
  const note = () => {
    accepted += 1;
  };
  server.on('connection', note);
  await nextTurn();
  for (let turns = 0; turns < MAX_TURNS; turns += 1) {
    const before = accepted;
    const startedAtMs = performance.now();
    await nextTurn();
    const isShort = performance.now() - startedAtMs <= SHORT_TURN_MS;
    if (isShort && accepted === before) break;
  }
  server.off('connection', note);
}
