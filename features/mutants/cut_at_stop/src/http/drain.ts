/** Left out: a stop waits for the connections of callers. */
import type {Server} from 'node:http';

/** Cuts every connection. */
export function drainCallers(server: Server): Promise<void> {
  server.close();
  server.closeAllConnections();
  return Promise.resolve();
}
