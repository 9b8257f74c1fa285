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
import type {GenerationTracker} from './generation_tracker.js';
import type {Links} from './links.js';
import {mayVouch} from './vouch_rules.js';
import {
  WITNESS_CALL_TIMEOUT_MS,
  type WitnessCalls,
  type WitnessKind,
} from './witness_calls.js';
import type {WitnessReply} from './witness_messages.js';

/** What the store knows, read without lag. */
export interface StoreState {
  readonly generation: Generation | undefined;
  readonly revision: number;
}

/** Options of {@link Witness}. */
export interface WitnessOptions {
  readonly tracker: GenerationTracker;
  readonly calls: WitnessCalls;
  readonly links: Links;
  readonly log: Logger;
  /** Throws `storeUnavailable`. */
  readonly readStore: () => Promise<StoreState>;
}

type Handlers = {
  readonly [Kind in WitnessKind]: (body: RequestOf<Kind>) => WitnessReply;
};

const RETRY_PAUSE_MS = 500;
/**
 * A call that the process before this one answered may still be counting
 * answers; until it is over the other witnesses may not know what it tells.
 */
const RECOVERY_DELAY_MS = 2 * WITNESS_CALL_TIMEOUT_MS;
const EMPTY_BODY = {};

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
    const {tracker, links, calls} = options;
    this.#handlers = {
      'witness.vouch': () => this.#reply(),
      'witness.generation': ({generation}) => {
        tracker.adoptIfNewer(generation);
        return this.#reply();
      },
      'witness.revision': body => this.#raiseRevision(body),
    };
    const answer = <Kind extends WitnessKind>(
      kind: Kind,
      body: RequestOf<Kind>,
    ): ReplyOf<Kind> => this.#handlers[kind](body as never);
    calls.setOwnWitness(answer);
    const kinds = Object.keys(this.#handlers) as WitnessKind[];
    kinds.forEach(kind => links.handle(kind, body => answer(kind, body)));
    links.handle('generation.read', () => ({generation: tracker.current()}));
    tracker.onChange(() => void this.#becomeReady().catch(() => undefined));
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  #reply(): WitnessReply {
    const {tracker} = this.#options;
    const generation = tracker.current()?.number ?? 0;
    return {
      recovered: this.#recovered,
      ready: mayVouch(this.#recovered, this.#readyFor, generation),
      generation,
      revision: this.#revision,
      settledForMs: tracker.settledForMs(),
    };
  }

  /** Counts only in the generation that the caller means. */
  #raiseRevision(body: RequestOf<'witness.revision'>): WitnessReply {
    const reply = this.#reply();
    if (!reply.ready || body.generation !== reply.generation) return reply;
    this.#revision = Math.max(this.#revision, body.revision);
    return this.#reply();
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
    await this.#becomeReady();
  }

  async #recoverFromStore(): Promise<void> {
    const {generation, revision} = await this.#options.readStore();
    if (generation) this.#options.tracker.adoptIfNewer(generation);
    this.#revision = Math.max(this.#revision, revision);
    this.#recovered = true;
  }

  /** Asks the other witnesses of the generation that this daemon knows. */
  async #recoverFromPeers(): Promise<boolean> {
    const {tracker, calls} = this.#options;
    const generation = tracker.current();
    const ageMs = performance.now() - this.#startedAtMs;
    if (!generation || ageMs < RECOVERY_DELAY_MS) return false;
    const others = witnessesOf(generation).filter(w => !calls.isSelf(w));
    const needed = majorityOf(generation.witnesses.length);
    const replies = await this.#fetchReadyReplies(others, generation.number);
    if (replies.length < needed) return false;
    if (tracker.current() !== generation) return false;
    this.#applyReplies(generation.number, replies);
    this.#recovered = true;
    return true;
  }

  /** Words of those that are ready for the generation. */
  async #fetchReadyReplies(
    witnesses: ReturnType<typeof witnessesOf>,
    generation: number,
  ): Promise<readonly WitnessReply[]> {
    const {calls} = this.#options;
    const answers = await Promise.allSettled(
      witnesses.map(witness =>
        calls.call(witness, 'witness.vouch', EMPTY_BODY),
      ),
    );
    return answers
      .filter(answer => answer.status === 'fulfilled')
      .map(answer => answer.value.reply)
      .filter(reply => reply.ready && reply.generation === generation);
  }

  /** Makes this witness ready for the current generation. */
  async #becomeReady(): Promise<void> {
    const {tracker, calls} = this.#options;
    const generation = tracker.current();
    if (!this.#recovered || !generation) return;
    const {number, previousWitnesses} = generation;
    const isWitness = witnessesOf(generation).some(w => calls.isSelf(w));
    if (this.#readyFor === number || !isWitness) return;
    const replies = await calls.askMajority(
      previousWitnesses,
      'witness.generation',
      {generation},
      reply => reply.recovered && reply.generation >= number,
    );
    if (!replies || tracker.current() !== generation) return;
    tracker.markSettled(number, performance.now());
    this.#applyReplies(number, replies);
  }

  #applyReplies(generation: number, replies: readonly WitnessReply[]): void {
    this.#revision = Math.max(this.#revision, ...replies.map(w => w.revision));
    this.#readyFor = generation;
  }
}
