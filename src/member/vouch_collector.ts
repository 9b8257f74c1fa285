/**
 * Collects vouches: sends a request to every witness of the current generation
 * about once a second. A vouch's lifetime counts by the local clock from the
 * sending of the request, so that a late reply or a pause of this process only
 * shortens it.
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
import type {GenerationTracker} from './generation_tracker.js';
import type {Links} from './links.js';
import type {Membership} from './membership.js';
import {validUntil} from './vouch_rules.js';
import type {WitnessAnswer, WitnessCalls} from './witness_calls.js';

/** Options of {@link VouchCollector}. */
export interface VouchCollectorOptions {
  readonly tracker: GenerationTracker;
  readonly calls: WitnessCalls;
  readonly links: Links;
  readonly membership: Membership;
  readonly log: Logger;
}

interface CountedReply {
  readonly sentAtMs: number;
  readonly revision: number;
}

type Answer = WitnessAnswer<'witness.vouch' | 'witness.generation'>;

const VOUCH_INTERVAL_MS = 1000;
const READ_TIMEOUT_MS = 900;

/** Collects the vouches of one daemon. */
export class VouchCollector implements Vouches {
  readonly #options: VouchCollectorOptions;
  readonly #stopped = new AbortController();
  /** Latest reply for the current generation, by witness. */
  #replies = new Map<string, CountedReply>();
  #vouch: Vouch | undefined;
  #peerIndex = 0;

  constructor(options: VouchCollectorOptions) {
    this.#options = options;
    options.tracker.onChange(() => {
      this.#replies = new Map();
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
    const generation = this.#options.tracker.current();
    if (!generation) return false;
    if (newer.generation !== undefined) {
      if (generation.number < newer.generation) return false;
      if (!(await this.#raiseGeneration(generation))) return false;
    }
    if (newer.revision === undefined) return true;
    return this.#raiseRevision(generation, newer.revision);
  }

  async #raiseGeneration(generation: Generation): Promise<boolean> {
    const {tracker, calls} = this.#options;
    const send = (witnesses: readonly GenerationMember[]) =>
      calls.askMajority(
        witnesses,
        'witness.generation',
        {generation},
        reply => reply.generation >= generation.number,
      );
    const [previousReplies, currentReplies] = await Promise.all([
      send(generation.previousWitnesses),
      send(witnessesOf(generation)),
    ]);
    if (previousReplies)
      tracker.markSettled(generation.number, performance.now());
    return previousReplies !== undefined && currentReplies !== undefined;
  }

  async #raiseRevision(
    generation: Generation,
    revision: number,
  ): Promise<boolean> {
    const {number} = generation;
    const replies = await this.#options.calls.askMajority(
      witnessesOf(generation),
      'witness.revision',
      {generation: number, revision},
      reply =>
        reply.ready &&
        reply.generation === number &&
        reply.revision >= revision,
    );
    return replies !== undefined;
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      void this.#round();
      const pauseMs = VOUCH_INTERVAL_MS * (0.9 + Math.random() * 0.2);
      await sleep(pauseMs, undefined, {signal}).catch(() => undefined);
    }
  }

  /** Calls all witnesses, or fetches a generation if this daemon has none. */
  async #round(): Promise<void> {
    const {tracker} = this.#options;
    const generation = tracker.current();
    if (!generation) return this.#readFromNextPeer();
    await Promise.all(
      witnessesOf(generation).map(witness =>
        this.#callWitness(generation, witness).catch(() => undefined),
      ),
    );
  }

  async #callWitness(generation: Generation, witness: GenerationMember) {
    const {calls} = this.#options;
    const answer = await calls.call(witness, 'witness.vouch', {});
    if (answer.reply.generation >= generation.number) {
      return this.#processAnswer(generation, answer);
    }
    const body = {generation};
    const next = await calls.call(witness, 'witness.generation', body);
    return this.#processAnswer(generation, next);
  }

  async #processAnswer(generation: Generation, answer: Answer): Promise<void> {
    const {tracker} = this.#options;
    const {reply, witness, sentAtMs} = answer;
    if (reply.generation > generation.number) {
      return this.#readGeneration(witness.peersAddress);
    }
    if (tracker.current() !== generation || !reply.ready) return;
    if (reply.settledForMs !== undefined) {
      const atMs = performance.now() - reply.settledForMs;
      tracker.markSettled(generation.number, atMs);
    }
    const {revision} = reply;
    this.#replies.set(witness.id, {sentAtMs, revision});
    this.#updateVouch(generation);
  }

  #updateVouch(generation: Generation): void {
    const replies = [...this.#replies.values()];
    const validUntilMs = validUntil(
      replies.map(reply => reply.sentAtMs),
      majorityOf(generation.witnesses.length),
      VOUCH_LIFETIME_MS,
    );
    if (validUntilMs === undefined) return;
    const revision = Math.max(...replies.map(reply => reply.revision));
    this.#vouch = {generation: generation.number, revision, validUntilMs};
  }

  /** Asks one member for its generation; each call asks the next member. */
  async #readFromNextPeer(): Promise<void> {
    const {membership} = this.#options;
    const others = membership
      .members()
      .filter(member => member.id !== membership.self().id);
    const peer = others[this.#peerIndex++ % Math.max(1, others.length)];
    if (peer)
      await this.#readGeneration(peer.peersAddress).catch(() => undefined);
  }

  async #readGeneration(address: string): Promise<void> {
    const {links, tracker} = this.#options;
    const {generation} = await links.call(
      address,
      'generation.read',
      {},
      READ_TIMEOUT_MS,
    );
    if (generation) tracker.adoptIfNewer(generation);
  }
}
