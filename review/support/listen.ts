/** Listens on loopback. */
import type {Server} from 'node:net';

/** Listens on a free port; resolves to `IP:PORT`. */
export function listen(server: Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      const bound = server.address();
      const port = typeof bound === 'object' ? bound?.port : 0;
      resolve(`127.0.0.1:${port}`);
    });
  });
}
