/**
 * Collects vouches: asks every witness of the current generation about once a
 * second. The own clock counts from when the ask was sent, so that a late
 * answer or a pause of this process only makes the vouch shorter.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Logger} from '../log/logger.js';
import {
  majorityOf,
  VOUCH_LIFETIME_MS,
  witnessesOf,
  type Generation,
  type GenerationMember,
  type Vouch,
  type Vouches,
} from './generation.js';
import type {GenerationKeeper} from './generation_keeper.js';
import type {Links} from './links.js';
import type {Membership} from './membership.js';
import {validUntil} from './vouch_rules.js';
import type {WitnessAnswer, WitnessCalls} from './witness_calls.js';

/** Options of {@link VouchCollector}. */
export interface VouchCollectorOptions {
  readonly keeper: GenerationKeeper;
  readonly calls: WitnessCalls;
  readonly links: Links;
  readonly membership: Membership;
  readonly log: Logger;
}

interface Word {
  readonly sentAtMs: number;
  readonly revision: number;
}

type Answer = WitnessAnswer<'witness.vouch' | 'witness.generation'>;

const VOUCH_INTERVAL_MS = 1000;
const READ_TIMEOUT_MS = 900;

/** The vouches of one daemon. */
export class VouchCollector implements Vouches {
  readonly #options: VouchCollectorOptions;
  readonly #stopped = new AbortController();
  /** Newest words on the current generation, by witness. */
  #words = new Map<string, Word>();
  #vouch: Vouch | undefined;
  #peerIndex = 0;

  constructor(options: VouchCollectorOptions) {
    this.#options = options;
    options.keeper.onChange(() => {
      this.#words = new Map();
      void this.#round();
    });
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  current(): Vouch | undefined {
    const vouch = this.#vouch;
    return vouch && performance.now() < vouch.validUntilMs ? vouch : undefined;
  }

  async raise(newer: {
    readonly generation?: number;
    readonly revision?: number;
  }): Promise<boolean> {
    const generation = this.#options.keeper.current();
    if (!generation) return false;
    if (newer.generation !== undefined) {
      if (generation.number < newer.generation) return false;
      if (!(await this.#raiseGeneration(generation))) return false;
    }
    if (newer.revision === undefined) return true;
    return this.#raiseRevision(generation, newer.revision);
  }

  async #raiseGeneration(generation: Generation): Promise<boolean> {
    const {keeper, calls} = this.#options;
    const tell = (witnesses: readonly GenerationMember[]) =>
      calls.askMajority(
        witnesses,
        'witness.generation',
        {generation},
        word => word.generation >= generation.number,
      );
    const [before, now] = await Promise.all([
      tell(generation.previousWitnesses),
      tell(witnessesOf(generation)),
    ]);
    if (before) keeper.markSettled(generation.number, performance.now());
    return before !== undefined && now !== undefined;
  }

  async #raiseRevision(
    generation: Generation,
    revision: number,
  ): Promise<boolean> {
    const {number} = generation;
    const words = await this.#options.calls.askMajority(
      witnessesOf(generation),
      'witness.revision',
      {generation: number, revision},
      word =>
        word.ready && word.generation === number && word.revision >= revision,
    );
    return words !== undefined;
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      void this.#round();
      const pauseMs = VOUCH_INTERVAL_MS * (0.9 + Math.random() * 0.2);
      await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
    }
  }

  /** Asks everybody once; a daemon without a generation looks for one. */
  async #round(): Promise<void> {
    const {keeper} = this.#options;
    const generation = keeper.current();
    if (!generation) return this.#readFromPeer();
    await Promise.all(
      witnessesOf(generation).map(witness =>
        this.#ask(generation, witness).catch(() => undefined),
      ),
    );
  }

  async #ask(generation: Generation, witness: GenerationMember) {
    const {calls} = this.#options;
    const answer = await calls.call(witness, 'witness.vouch', {});
    if (answer.word.generation >= generation.number) {
      return this.#take(generation, answer);
    }
    const told = {generation};
    const next = await calls.call(witness, 'witness.generation', told);
    return this.#take(generation, next);
  }

  async #take(generation: Generation, answer: Answer): Promise<void> {
    const {keeper} = this.#options;
    const {word, witness, sentAtMs} = answer;
    if (word.generation > generation.number) {
      return this.#readFrom(witness.peersAddress);
    }
    if (keeper.current() !== generation || !word.ready) return;
    if (word.settledForMs !== undefined) {
      const atMs = performance.now() - word.settledForMs;
      keeper.markSettled(generation.number, atMs);
    }
    const {revision} = word;
    this.#words.set(witness.id, {sentAtMs, revision});
    this.#combine(generation);
  }

  #combine(generation: Generation): void {
    const words = [...this.#words.values()];
    const validUntilMs = validUntil(
      words.map(word => word.sentAtMs),
      majorityOf(generation.witnesses.length),
      VOUCH_LIFETIME_MS,
    );
    if (validUntilMs === undefined) return;
    const revision = Math.max(...words.map(word => word.revision));
    this.#vouch = {generation: generation.number, revision, validUntilMs};
  }

  /** Asks one member after the other until one knows a generation. */
  async #readFromPeer(): Promise<void> {
    const {membership} = this.#options;
    const others = membership
      .members()
      .filter(member => member.id !== membership.self().id);
    const peer = others[this.#peerIndex++ % Math.max(1, others.length)];
    if (peer) await this.#readFrom(peer.peersAddress).catch(() => undefined);
  }

  async #readFrom(address: string): Promise<void> {
    const {links, keeper} = this.#options;
    const {generation} = await links.call(
      address,
      'generation.read',
      {},
      READ_TIMEOUT_MS,
    );
    if (generation) keeper.offer(generation);
  }
}
