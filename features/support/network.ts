/**
 * The network of a test: every daemon connects to every other daemon and to the
 * store through a separate link, which can be cut in one direction or delayed.
 */
import path from 'node:path';
import {TestProcess} from './process.js';

/** Direction in which a link is cut; `forward` is from the connecting side. */
export type Cut = 'none' | 'forward' | 'backward' | 'both';

/** Changes to a link; properties left out keep their values. */
export interface LinkChange {
  readonly target?: string;
  readonly delayMs?: number;
  readonly cut?: Cut;
}

/** Controls the links of the relay process. */
export class Network {
  readonly #relay: TestProcess;
  readonly #control: string;

  private constructor(relay: TestProcess) {
    this.#relay = relay;
    this.#control = `127.0.0.1:${relay.firstLine.split(' ')[1]}`;
  }

  static async start(): Promise<Network> {
    const script = path.resolve('dist/standins/relay.cjs');
    return new Network(await TestProcess.start({script, args: []}));
  }

  /** Creates or changes a link; resolves to the address to connect to. */
  async link(name: string, change: LinkChange): Promise<string> {
    const url = `http://${this.#control}/links/${encodeURIComponent(name)}`;
    const body = JSON.stringify(change);
    const res = await fetch(url, {method: 'PUT', body});
    const {port} = (await res.json()) as {port: number};
    return `127.0.0.1:${port}`;
  }

  /**
   * Blocks traffic from `from` to `to`, whichever side opened the connection.
   * Names are ids of daemons, or `store`.
   */
  async cutOneWay(from: string, to: string): Promise<void> {
    await this.link(`${from}>${to}`, {cut: 'forward'});
    if (to !== 'store') await this.link(`${to}>${from}`, {cut: 'backward'});
  }

  /** Cuts both directions between two daemons, or a daemon and the store. */
  async cut(from: string, to: string): Promise<void> {
    await this.link(`${from}>${to}`, {cut: 'both'});
    if (to !== 'store') await this.link(`${to}>${from}`, {cut: 'both'});
  }

  /** Heals both directions between two names. */
  async heal(from: string, to: string): Promise<void> {
    await this.link(`${from}>${to}`, {cut: 'none'});
    if (to !== 'store') await this.link(`${to}>${from}`, {cut: 'none'});
  }

  async stop(): Promise<void> {
    await this.#relay.end();
  }
}
