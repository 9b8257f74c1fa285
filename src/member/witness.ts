/**
 * A witness: it vouches for the highest generation and revision that it was
 * told of. A process that just started has forgotten what it was told before,
 * so it stays silent until it has read the store, or a majority of the other
 * witnesses told it, as in the recovery of viewstamped replication. In each
 * new generation it first collects from a majority of the witnesses of the
 * one before, which by then take in nothing more on its account.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {ReplyOf, RequestOf} from '../wire/messages.js';
import {majorityOf, witnessesOf, type Generation} from './generation.js';
import type {GenerationKeeper} from './generation_keeper.js';
import type {Links} from './links.js';
import {mayVouch} from './vouch_rules.js';
import {
  WITNESS_CALL_TIMEOUT_MS,
  type WitnessCalls,
  type WitnessKind,
} from './witness_calls.js';
import type {WitnessWord} from './witness_messages.js';

/** What the store knows, read without lag. */
export interface StoreWord {
  readonly generation: Generation | undefined;
  readonly revision: number;
}

/** Options of {@link Witness}. */
export interface WitnessOptions {
  readonly keeper: GenerationKeeper;
  readonly calls: WitnessCalls;
  readonly links: Links;
  readonly log: Logger;
  /** Throws `storeUnavailable`. */
  readonly readStore: () => Promise<StoreWord>;
}

type Handlers = {
  readonly [Kind in WitnessKind]: (body: RequestOf<Kind>) => WitnessWord;
};

const RETRY_PAUSE_MS = 500;
/**
 * A call that the process before this one answered may still be counting
 * answers; until it is over the other witnesses may not know what it tells.
 */
const OPEN_CALLS_MS = 2 * WITNESS_CALL_TIMEOUT_MS;
const VOUCH_NOTHING = {};

/** The witness of one daemon; every daemon can become one. */
export class Witness {
  readonly #options: WitnessOptions;
  readonly #stopped = new AbortController();
  readonly #handlers: Handlers;
  readonly #startedAtMs = performance.now();
  #revision = 0;
  #recovered = false;
  #readyFor = 0;

  constructor(options: WitnessOptions) {
    this.#options = options;
    const {keeper, links, calls} = options;
    this.#handlers = {
      'witness.vouch': () => this.#word(),
      'witness.generation': ({generation}) => {
        keeper.offer(generation);
        return this.#word();
      },
      'witness.revision': body => this.#takeRevision(body),
    };
    const answer = <Kind extends WitnessKind>(
      kind: Kind,
      body: RequestOf<Kind>,
    ): ReplyOf<Kind> => this.#handlers[kind](body as never);
    calls.setOwn(answer);
    const kinds = Object.keys(this.#handlers) as WitnessKind[];
    kinds.forEach(kind => links.handle(kind, body => answer(kind, body)));
    links.handle('generation.read', () => ({generation: keeper.current()}));
    keeper.onChange(() => void this.#collect().catch(() => undefined));
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  #word(): WitnessWord {
    const {keeper} = this.#options;
    const generation = keeper.current()?.number ?? 0;
    return {
      recovered: this.#recovered,
      ready: mayVouch(this.#recovered, this.#readyFor, generation),
      generation,
      revision: this.#revision,
      settledForMs: keeper.settledForMs(),
    };
  }

  /** Counts only in the generation that the caller means. */
  #takeRevision(body: RequestOf<'witness.revision'>): WitnessWord {
    const word = this.#word();
    if (!word.ready || body.generation !== word.generation) return word;
    this.#revision = Math.max(this.#revision, body.revision);
    return this.#word();
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      await this.#round().catch((err: unknown) =>
        this.#options.log.debug(`Not ready to vouch: ${reasonOf(err)}.`),
      );
      await sleep(RETRY_PAUSE_MS, undefined, {signal}).catch(() => undefined);
    }
  }

  async #round(): Promise<void> {
    if (!this.#recovered) {
      const recovered = await this.#recoverFromPeers();
      if (!recovered) await this.#recoverFromStore();
    }
    await this.#collect();
  }

  async #recoverFromStore(): Promise<void> {
    const {generation, revision} = await this.#options.readStore();
    if (generation) this.#options.keeper.offer(generation);
    this.#revision = Math.max(this.#revision, revision);
    this.#recovered = true;
  }

  /** Asks the other witnesses of the generation that this daemon knows. */
  async #recoverFromPeers(): Promise<boolean> {
    const {keeper, calls} = this.#options;
    const generation = keeper.current();
    const ageMs = performance.now() - this.#startedAtMs;
    if (!generation || ageMs < OPEN_CALLS_MS) return false;
    const others = witnessesOf(generation).filter(w => !calls.isSelf(w));
    const needed = majorityOf(generation.witnesses.length);
    const words = await this.#askReady(others, generation.number);
    if (words.length < needed) return false;
    if (keeper.current() !== generation) return false;
    this.#learn(generation.number, words);
    this.#recovered = true;
    return true;
  }

  /** Words of those that are ready for the generation. */
  async #askReady(
    witnesses: ReturnType<typeof witnessesOf>,
    generation: number,
  ): Promise<readonly WitnessWord[]> {
    const {calls} = this.#options;
    const answers = await Promise.allSettled(
      witnesses.map(witness =>
        calls.call(witness, 'witness.vouch', VOUCH_NOTHING),
      ),
    );
    return answers
      .filter(answer => answer.status === 'fulfilled')
      .map(answer => answer.value.word)
      .filter(word => word.ready && word.generation === generation);
  }

  /** Makes this witness ready for the current generation. */
  async #collect(): Promise<void> {
    const {keeper, calls} = this.#options;
    const generation = keeper.current();
    if (!this.#recovered || !generation) return;
    const {number, previousWitnesses} = generation;
    const isWitness = witnessesOf(generation).some(w => calls.isSelf(w));
    if (this.#readyFor === number || !isWitness) return;
    const words = await calls.askMajority(
      previousWitnesses,
      'witness.generation',
      {generation},
      word => word.recovered && word.generation >= number,
    );
    if (!words || keeper.current() !== generation) return;
    keeper.markSettled(number, performance.now());
    this.#learn(number, words);
  }

  #learn(generation: number, words: readonly WitnessWord[]): void {
    this.#revision = Math.max(this.#revision, ...words.map(w => w.revision));
    this.#readyFor = generation;
  }
}
