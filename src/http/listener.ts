/** Starts and stops HTTP servers; failures name the part of the daemon. */
import type {Server} from 'node:http';
import {Failure, reasonOf} from '../errors/failure.js';
import {parseAddress} from '../settings/address.js';

/** Listens on `IP:PORT`; resolves to the address with the bound port. */
export function listen(
  server: Server,
  address: string,
  part: string,
  backlog?: number,
): Promise<string> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', err => {
      reject(new Failure('startFailed', {part, reason: reasonOf(err)}, err));
    });
    server.listen(port, host, backlog, () => {
      const bound = server.address();
      const boundPort = typeof bound === 'object' ? bound?.port : port;
      resolve(`${host}:${boundPort}`);
    });
  });
}

/** Stops listening; resolves when open requests have ended. */
export function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
