/** Sends requests with one key to several daemons over open connections. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';

/** One request of the stream. */
export interface StreamedRequest {
  readonly daemon: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly status: number;
  readonly ran: string | undefined;
}

const PAUSE_MS = 40;
const TIMEOUT_MS = 30_000;

/** A stream of requests that runs until it is stopped. */
export class KeyStream {
  readonly #agent = new Agent({connections: 2, keepAliveTimeout: TIMEOUT_MS});
  readonly #key: string;
  readonly requests: StreamedRequest[] = [];
  #running = true;

  /** `daemons` maps daemon ids to their addresses for callers. */
  constructor(key: string, daemons: ReadonlyMap<string, string>) {
    this.#key = key;
    daemons.forEach((address, id) => void this.#run(id, address));
  }

  async stop(): Promise<void> {
    this.#running = false;
    await this.#agent.destroy();
  }

  async #run(daemon: string, address: string): Promise<void> {
    while (this.#running) {
      await this.#send(daemon, address).catch(() => undefined);
      await sleep(PAUSE_MS);
    }
  }

  async #send(daemon: string, address: string): Promise<void> {
    const sentAtMs = performance.now();
    const res = await request(`http://${address}/ledger/balances`, {
      dispatcher: this.#agent,
      headers: {'x-api-key': this.#key},
      headersTimeout: TIMEOUT_MS,
    });
    const {ran} = (await res.body.json()) as {ran?: string};
    const endedAtMs = performance.now();
    const status = res.statusCode;
    this.requests.push({daemon, sentAtMs, endedAtMs, status, ran});
  }
}
