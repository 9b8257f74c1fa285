/**
 * A TCP proxy whose open connections can go silent for good, while new ones
 * work. Nothing is reset.
 */
import {connect, createServer, type Socket} from 'node:net';
import {listen} from './listen.js';

export class Relay {
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  readonly #server = createServer(socket => this.#accept(socket));
  readonly #target: string;
  readonly #onBytes: (bytes: Buffer) => void;

  /** `onBytes` sees what clients send. */
  constructor(target: string, onBytes: (bytes: Buffer) => void) {
    this.#target = target;
    this.#onBytes = onBytes;
  }

  start(): Promise<string> {
    return listen(this.#server);
  }

  /** Passes nothing on any more over the connections that are open now. */
  silenceOpen(): number {
    const open = [...this.#pairs].filter(([a]) => !a.destroyed);
    open.flat().forEach(socket => {
      socket.removeAllListeners('data');
      socket.pause();
    });
    return open.length;
  }

  stop(): void {
    [...this.#pairs].flat().forEach(socket => socket.destroy());
    this.#server.close();
  }

  #accept(client: Socket): void {
    const [host, port] = this.#target.split(':');
    const server = connect(Number(port), host);
    const pair = [client, server] as const;
    this.#pairs.add(pair);
    client.on('data', (bytes: Buffer) => {
      this.#onBytes(bytes);
      server.write(bytes);
    });
    server.on('data', (bytes: Buffer) => client.write(bytes));
    pair.forEach((socket, index) => {
      const other = index === 0 ? server : client;
      socket.on('error', () => socket.destroy());
      socket.on('close', () => other.destroy());
    });
  }
}
