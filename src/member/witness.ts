/**
 * A witness vouches for the highest generation and revision that it has
 * received. It keeps them in memory only, so a restarted process doesn't vouch
 * until it has read them from the store or from a majority of the witnesses, as
 * in the recovery of viewstamped replication. For each new generation it first
 * collects the revisions of a majority of the previous generation's witnesses,
 * which by then no longer accept revisions for that previous generation.
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

/** The generation and revision in the store, read without staleness. */
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
 * Wait before recovery from peers. A caller may still be counting a reply of
 * the process that ran before this one; until that call has ended, the other
 * witnesses may not have received what it carries.
 */
const RECOVERY_DELAY_MS = 2 * WITNESS_CALL_TIMEOUT_MS;
const EMPTY_BODY = {};

/** The witness of one daemon; any daemon can be chosen as a witness. */
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

  /** Ignores revisions for a generation other than the current one. */
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
        this.#options.log.debug(
          `The witness is not ready to vouch: ${reasonOf(err)}.`,
        ),
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

  /** Recovers from the other witnesses of the current generation. */
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

  /** Replies of the witnesses that are ready for the generation. */
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
