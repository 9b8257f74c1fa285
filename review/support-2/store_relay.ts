/**
 * A TCP relay in front of the stand-in of the store. It ends connections that
 * are idle, as an HTTP/1.1 server may, and can make the open ones silent for
 * good, without a reset, while new ones work.
 */
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  isWatch: boolean;
  isSilent: boolean;
}

/** What a call of {@link StoreRelay.silence} did. */
export interface Silenced {
  readonly open: number;
  readonly silenced: number;
  readonly watches: number;
}

/** The relay of one machine. */
export class StoreRelay {
  readonly #target: string;
  readonly #idleMs: number;
  readonly #pairs = new Set<Pair>();
  readonly #server = createServer(socket => this.#relay(socket));

  /** `idleMs`: how long the store keeps an idle connection; 0: for good. */
  constructor(target: string, idleMs: number) {
    this.#target = target;
    this.#idleMs = idleMs;
  }

  start(): Promise<string> {
    return new Promise(resolve => {
      this.#server.listen(0, '127.0.0.1', () => {
        const {port} = this.#server.address() as AddressInfo;
        resolve(`127.0.0.1:${port}`);
      });
    });
  }

  stop(): void {
    this.#pairs.forEach(({near, far}) => [near, far].map(s => s.destroy()));
    this.#server.close();
  }

  /** Whether no call is in progress; without idle connections, none is open. */
  get isCalm(): boolean {
    const calls = [...this.#pairs].filter(({isWatch}) => !isWatch);
    return this.#idleMs === 0 || calls.length === 0;
  }

  /** Makes the open connections silent, or only those that carry a watch. */
  silence(which: 'open' | 'watches'): Silenced {
    const open = [...this.#pairs];
    const chosen = open.filter(pair => which === 'open' || pair.isWatch);
    chosen.forEach(pair => {
      pair.isSilent = true;
      [pair.near, pair.far].forEach(socket => {
        socket.unpipe();
        socket.pause();
      });
    });
    return {
      open: open.length,
      silenced: chosen.length,
      watches: chosen.filter(({isWatch}) => isWatch).length,
    };
  }

  #relay(near: Socket): void {
    const [host, port] = this.#target.split(':');
    const far = connect(Number(port), host);
    const pair: Pair = {near, far, isWatch: false, isSilent: false};
    this.#pairs.add(pair);
    near.on('data', (bytes: Buffer) => {
      const head = bytes.toString('latin1');
      if (/^[A-Z]+ \/kv-/.test(head))
        pair.isWatch = /^GET \/kv-watch/.test(head);
    });
    near.pipe(far);
    far.pipe(near);
    if (this.#idleMs > 0) {
      near.setTimeout(this.#idleMs, () => {
        if (!pair.isWatch && !pair.isSilent) near.end();
      });
    }
    [near, far].forEach(socket => {
      socket.on('error', () => undefined);
      socket.on('close', () => {
        near.destroy();
        far.destroy();
        this.#pairs.delete(pair);
      });
    });
  }
}
