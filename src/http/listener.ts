/** Starts and stops HTTP servers; failures name the part of the daemon. */
import type {Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {Failure, reasonOf} from '../errors/failure.js';
import {parseAddress} from '../settings/address.js';

/** Options of {@link listen}. */
export interface ListenOptions {
  readonly backlog?: number;
  /** Called before each further attempt at an address that is taken. */
  readonly onRetry?: (retry: ListenRetry) => void;
}

/** An address is taken, and is tried again after a delay. */
export interface ListenRetry {
  readonly part: string;
  readonly address: string;
  readonly delayMs: number;
}

/** An address that is taken for longer than this ends the start. */
const MAX_RETRY_MS = 10_000;
/** Bounds of the exponential backoff between two attempts. */
const MIN_RETRY_DELAY_MS = 50;
const MAX_RETRY_DELAY_MS = 1000;

/**
 * Listens on `IP:PORT`; resolves to the address with the bound port. An address
 * that is taken is tried again, since the process before this one may not have
 * closed it yet.
 */
export async function listen(
  server: Server,
  address: string,
  part: string,
  {backlog, onRetry}: ListenOptions = {},
): Promise<string> {
  const endMs = performance.now() + MAX_RETRY_MS;
  let delayMs = MIN_RETRY_DELAY_MS;
  for (;;) {
    try {
      return await listenOnce(server, address, backlog);
    } catch (err) {
      const mayRetry = isAddressTaken(err) && performance.now() < endMs;
      if (!mayRetry) {
        throw new Failure('startFailed', {part, reason: reasonOf(err)}, err);
      }
      onRetry?.({part, address, delayMs});
      await sleep(delayMs);
      delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
    }
  }
}

function listenOnce(
  server: Server,
  address: string,
  backlog?: number,
): Promise<string> {
  const {host, port} = parseAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, backlog, () => {
      const bound = server.address();
      const boundPort = typeof bound === 'object' ? bound?.port : port;
      resolve(`${host}:${boundPort}`);
    });
  });
}

function isAddressTaken(err: unknown): boolean {
  return err instanceof Error && 'code' in err && err.code === 'EADDRINUSE';
}

/** Stops listening; resolves when open requests have ended. */
export function close(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}
