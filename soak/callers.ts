/**
 * Callers of a soak run: they post at a steady rate to every daemon, keep
 * their connections, and remember what they were told of each request.
 */
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';

/** What a caller was told. */
export interface Told {
  readonly id: string;
  /** 0 if the connection ended without an answer. */
  readonly status: number;
  /** Of a refusal: whether the request ran. */
  readonly ran?: string;
  /** Of an answer: the request that the instance answered. */
  readonly answeredId?: string;
}

interface Answer {
  readonly ran?: string;
  readonly request?: string;
}

const PAUSE_MS = 40;
const TIMEOUT_MS = 20_000;

/** The callers of one daemon. */
export class Callers {
  readonly #address: () => string;
  readonly #key: string;
  readonly #agent = new Agent({keepAliveTimeout: TIMEOUT_MS});
  readonly #open = new Set<Promise<void>>();
  readonly told: Told[] = [];
  #isRunning = true;
  readonly #ended: Promise<void>;

  constructor(address: () => string, key: string) {
    this.#address = address;
    this.#key = key;
    this.#ended = this.#run();
  }

  /** Sends nothing more; resolves when all that is open has ended. */
  async stop(): Promise<void> {
    this.#isRunning = false;
    await this.#ended;
    await Promise.all(this.#open);
    await this.#agent.destroy();
  }

  async #run(): Promise<void> {
    while (this.#isRunning) {
      const done: Promise<void> = this.#post().then(told => {
        this.told.push(told);
        this.#open.delete(done);
      });
      this.#open.add(done);
      await sleep(PAUSE_MS);
    }
  }

  async #post(): Promise<Told> {
    const id = randomUUID();
    try {
      const res = await request(`http://${this.#address()}/sweep/run`, {
        method: 'POST',
        dispatcher: this.#agent,
        headers: {'x-api-key': this.#key, 'x-request-id': id},
        body: 'amount=1',
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const status = res.statusCode;
      const text = await res.body.text();
      const {ran, request: answeredId} = parse(text);
      return {id, status, ran, answeredId};
    } catch {
      return {id, status: 0};
    }
  }
}

/** An instance's own refusal has no body. */
function parse(text: string): Answer {
  return text === '' ? {} : (JSON.parse(text) as Answer);
}
