/**
 * Callers that send POST requests continuously, to the daemons in turn. A
 * daemon that refuses the connection gets no more requests until it is added
 * again. Any other failure without an answer counts as a lost request.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import type {World} from './world.js';

const CALLER_COUNT = 4;
const PAUSE_MS = 10;

/** Callers of one customer; they start at once. */
export class PostingCallers {
  readonly #world: World;
  readonly #customer: string;
  readonly #path: string;
  readonly #reachable: Set<string>;
  readonly #results: string[] = [];
  readonly #callers: readonly Promise<void>[];
  #isStopped = false;
  #nextIndex = 0;

  constructor(world: World, customer: string, path: string) {
    this.#world = world;
    this.#customer = customer;
    this.#path = path;
    this.#reachable = new Set(world.fleet.daemons.keys());
    this.#callers = Array.from({length: CALLER_COUNT}, () =>
      this.#postInTurn(),
    );
  }

  /** Sends requests to a daemon again. */
  addDaemon(daemon: string): void {
    this.#reachable.add(daemon);
  }

  /** Stops the callers; resolves to the number of requests by result. */
  async stop(): Promise<Readonly<Record<string, number>>> {
    this.#isStopped = true;
    await Promise.all(this.#callers);
    return this.#results.reduce<Record<string, number>>(
      (counts, result) => ({...counts, [result]: (counts[result] ?? 0) + 1}),
      {},
    );
  }

  async #postInTurn(): Promise<void> {
    while (!this.#isStopped) {
      const daemons = [...this.#reachable];
      const daemon = daemons[this.#nextIndex++ % daemons.length] ?? '';
      const result = await this.#post(daemon);
      if (result === 'ECONNREFUSED') this.#reachable.delete(daemon);
      else this.#results.push(result);
      await sleep(PAUSE_MS);
    }
  }

  async #post(daemon: string): Promise<string> {
    const headers = {
      'x-api-key': this.#world.keys.get(this.#customer) ?? '',
      'x-request-id': randomUUID(),
    };
    const init = {method: 'POST', body: 'x=1', headers};
    try {
      const answer = await this.#world.request(daemon, this.#path, init);
      const {status, text} = answer;
      if (status === 200) return '200';
      return `${status} ${/refusal:[a-z-]+/.exec(text)?.[0] ?? text}`;
    } catch (err) {
      const {cause} = err as {cause?: {code?: string; message?: string}};
      return cause?.code ?? cause?.message ?? String(err);
    }
  }
}
