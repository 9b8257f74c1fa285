/**
 * Callers of one daemon. They send at a steady rate, keep their connections,
 * and record what they were told of each request.
 */
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'node:http';
import {HEADER_NAMES as NAMES} from '../../platform/names.js';
import {addressOf, ROUTES, type SoakVm} from './fleet_plan.js';

/** What a caller was told of a request. */
export interface Answer {
  /** The index of the VM whose daemon was called. */
  readonly vm: number;
  readonly sentAtUnixMs: number;
  readonly tookMs: number;
  /** 0 if there was no response. */
  readonly status: number;
}

/** How long a caller waits for a response. */
const PATIENCE_MS = 4500;

/** Sends requests to one daemon until it is stopped. */
export class SteadyCallers {
  readonly #vm: SoakVm;
  readonly #agent = new Agent({keepAlive: true});
  readonly #timer: NodeJS.Timeout;
  readonly answers: Answer[] = [];

  constructor(vm: SoakVm, requestsPerS: number) {
    this.#vm = vm;
    this.#timer = setInterval(() => void this.#send(), 1000 / requestsPerS);
  }

  /** Sends nothing more; requests in flight are dropped. */
  stop(): void {
    clearInterval(this.#timer);
    this.#agent.destroy();
  }

  async #send(): Promise<void> {
    const sentAtUnixMs = Date.now();
    const status = await this.#post();
    const tookMs = Date.now() - sentAtUnixMs;
    this.answers.push({vm: this.#vm.index, sentAtUnixMs, tookMs, status});
  }

  #post(): Promise<number> {
    const [host, port] = addressOf(this.#vm, 'callers').split(':');
    const route = ROUTES.find(
      ({service}) => service === this.#vm.calledService,
    );
    return new Promise(resolve => {
      const req = request({
        host,
        port,
        method: 'POST',
        path: `${route?.prefix}run`,
        agent: this.#agent,
        signal: AbortSignal.timeout(PATIENCE_MS),
        headers: {
          host: route?.host,
          [NAMES.requestId]: randomUUID(),
          [NAMES.deadline]: String(PATIENCE_MS),
        },
      });
      req.on('response', res => {
        res.resume();
        res.on('end', () => resolve(res.statusCode ?? 0));
        res.on('error', () => resolve(0));
      });
      req.on('error', () => resolve(0));
      req.end('amount=1');
    });
  }
}
