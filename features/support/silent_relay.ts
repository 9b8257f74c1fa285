/**
 * A TCP relay whose open connections can be made silent for good, without a
 * reset: neither side gets further bytes. New connections work.
 */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

export class SilentRelay {
  readonly #target: string;
  readonly #pairs = new Set<readonly [Socket, Socket]>();
  readonly #server = createServer(socket => this.#relay(socket));

  /** Relays to `IP:PORT`. */
  constructor(target: string) {
    this.#target = target;
  }

  /** Resolves to the relay's own address. */
  start(): Promise<string> {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => {
        const {port} = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  stop(): void {
    this.#pairs.forEach(pair => pair.forEach(socket => socket.destroy()));
    this.#server.close();
  }

  /** Makes all open connections silent. */
  silenceOpen(): void {
    this.#pairs.forEach(pair =>
      pair.forEach(socket => {
        socket.unpipe();
        socket.pause();
      }),
    );
  }

  #relay(near: Socket): void {
    const [host, port] = this.#target.split(':');
    const far = connect(Number(port), host);
    const pair = [near, far] as const;
    this.#pairs.add(pair);
    near.pipe(far);
    far.pipe(near);
    pair.forEach(socket => {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        pair.forEach(other => other.destroy());
        this.#pairs.delete(pair);
      });
    });
  }
}
