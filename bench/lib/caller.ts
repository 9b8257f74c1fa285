/** What stands in for the customers: sends requests to the daemons in turn. */
import {Pool} from 'undici';
import type {BenchFleet} from './bench_fleet.js';
import type {Arrival} from './plan.js';
import type {Seen} from './tally.js';

const TIMEOUT_MS = 12_000;

interface Problem {
  readonly ran?: Seen['ran'];
  readonly type?: string;
}

/** A caller: tries another daemon only if the first one can't be reached. */
export class Caller {
  readonly #bench: BenchFleet;
  readonly #bodyFactor: number;
  readonly #pools: readonly Pool[];
  #turn = 0;

  constructor(bench: BenchFleet, bodyFactor: number) {
    this.#bench = bench;
    this.#bodyFactor = bodyFactor;
    this.#pools = bench.daemonIds.map(id => {
      const {callers} = bench.fleet.daemon(id).addresses;
      return new Pool(`http://${callers}`, {headersTimeout: TIMEOUT_MS});
    });
  }

  async send(arrival: Arrival, requestId: string): Promise<Seen> {
    const startedMs = performance.now();
    const result = await this.#sendTo(this.#turn++, arrival, requestId);
    const tookMs = performance.now() - startedMs;
    return {...result, requestId, arrival, tookMs};
  }

  async #sendTo(
    turn: number,
    arrival: Arrival,
    requestId: string,
  ): Promise<Pick<Seen, 'status' | 'ran' | 'refusal'>> {
    const {service, customer, workMs} = arrival;
    const pool = this.#pools[turn % this.#pools.length] as Pool;
    try {
      const answer = await pool.request({
        path: `/${service.id}/x`,
        method: service.method,
        headers: {
          'x-api-key': this.#bench.keys[customer] ?? '',
          'x-request-id': requestId,
          'x-work-ms': String(workMs),
        },
        body:
          service.method === 'POST'
            ? Buffer.alloc(service.bodyBytes * this.#bodyFactor)
            : null,
      });
      const text = await answer.body.text();
      const {ran = 'yes', type = ''} = JSON.parse(text) as Problem;
      const refusal = type.replace('urn:chicorycourse:refusal:', '');
      return {status: answer.statusCode, ran, refusal};
    } catch (err) {
      const code = (err as {code?: string}).code;
      const isLast = turn >= this.#turn + this.#pools.length;
      if (code === 'ECONNREFUSED' && !isLast) {
        return this.#sendTo(turn + 1, arrival, requestId);
      }
      return {status: 0, ran: 'unknown', refusal: code ?? 'connection'};
    }
  }

  async close(): Promise<void> {
    await Promise.all(this.#pools.map(pool => pool.destroy()));
  }
}
