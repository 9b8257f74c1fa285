/** The four HTTP servers of a daemon and the addresses they listen on. */
import type {Server} from 'node:http';
import {createCallerServer} from '../http/caller_server.js';
import {drainServer} from '../http/drain.js';
import {close, listen} from '../http/listener.js';
import {StrictServer} from '../http/strict_server.js';

/** Addresses of a daemon's servers, with the ports they are bound to. */
export interface BoundAddresses {
  readonly callers: string;
  readonly administration: string;
  readonly instances: string;
  readonly peers: string;
}

/** Longer than peers keep idle connections, so that the peers close first. */
const PEER_KEEP_ALIVE_MS = 30_000;

/** The servers, on which the parts register their handlers. */
export class Servers {
  readonly callers: Server;
  readonly administration: Server;
  readonly instances: Server;
  readonly peers: Server;

  constructor(maxHeaderBytes: number) {
    const serverOptions = {maxHeaderSize: maxHeaderBytes};
    this.callers = createCallerServer(maxHeaderBytes);
    this.administration = new StrictServer(serverOptions);
    this.instances = new StrictServer(serverOptions);
    this.peers = new StrictServer({
      maxHeaderSize: maxHeaderBytes * 2,
      requestTimeout: 0,
      keepAliveTimeout: PEER_KEEP_ALIVE_MS,
    });
  }

  /** Starts all servers; throws `startFailed` with the name of the server. */
  async listen(addresses: BoundAddresses): Promise<BoundAddresses> {
    const bind = (part: keyof BoundAddresses) =>
      listen(this[part], addresses[part], part);
    return {
      callers: await bind('callers'),
      administration: await bind('administration'),
      instances: await bind('instances'),
      peers: await bind('peers'),
    };
  }

  /** Stops accepting callers' requests; resolves when all are answered. */
  async drainCallers(): Promise<void> {
    await drainServer(this.callers);
  }

  /** Closes the other servers; resolves when open requests have ended. */
  async close(): Promise<void> {
    const {administration, instances, peers} = this;
    await Promise.all([administration, instances, peers].map(close));
  }
}
