/** Ends a server without cutting a request. */
import type {Server} from 'node:http';
import {Server as TcpServer} from 'node:net';

/**
 * Takes no new connections and resolves when the open ones have ended. Idle
 * ones aren't closed, since a request may be on its way on any of them; they
 * end by their timeout or after their next answer.
 */
export function drainCallers(server: Server): Promise<void> {
  return new Promise(resolve => {
    TcpServer.prototype.close.call(server, () => resolve());
  });
}
