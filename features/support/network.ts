/**
 * The network of a test: every daemon dials every other, and the store,
 * through a link of its own, so that each can be cut one way or delayed.
 */
import path from 'node:path';
import {TestProcess} from './process.js';

/** Which way a link is cut; `forward` is from the side that dials. */
export type Cut = 'none' | 'forward' | 'backward' | 'both';

/** What a link is changed to. */
export interface LinkChange {
  readonly target?: string;
  readonly delayMs?: number;
  readonly cut?: Cut;
}

/** The relay and the names of its links. */
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

  /** Creates or changes a link; resolves to the address to dial. */
  async link(name: string, change: LinkChange): Promise<string> {
    const url = `http://${this.#control}/links/${encodeURIComponent(name)}`;
    const body = JSON.stringify(change);
    const res = await fetch(url, {method: 'PUT', body});
    const {port} = (await res.json()) as {port: number};
    return `127.0.0.1:${port}`;
  }

  /**
   * Cuts what `from` sends to `to`, whoever dialled the connection. Names are
   * ids of daemons, or `store`.
   */
  async cutOneWay(from: string, to: string): Promise<void> {
    await this.link(`${from}>${to}`, {cut: 'forward'});
    if (to !== 'store') await this.link(`${to}>${from}`, {cut: 'backward'});
  }

  /** Cuts both ways between two daemons, or a daemon and the store. */
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
