/**
 * Finds members that failed. Each round pings one member, in shuffled turns;
 * if it doesn't answer, others are asked to ping it, since a network may lose
 * one direction only. A member that nobody reached is suspected, and declared
 * dead unless it answers the claim in time. A daemon that was paused or is
 * slow itself doubts its own findings: its rounds that ran isLate don't count.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import type {Logger} from '../log/logger.js';
import type {Links} from './links.js';
import type {MemberRecord} from './messages.js';
import type {UpdateQueue} from './update_queue.js';
import type {View} from './view.js';

/** Options of {@link FailureDetector}. */
export interface FailureDetectorOptions {
  readonly view: View;
  readonly queue: UpdateQueue;
  readonly links: Links;
  readonly log: Logger;
  /** A number in [0, 1), for shuffling. */
  readonly random: () => number;
}

const ROUND_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 300;
const INDIRECT_PING_TIMEOUT_MS = 800;
const INDIRECT_PING_COUNT = 3;
const MIN_SUSPICION_MS = 4000;
/** Suspicion lasts longer for each power of ten of the fleet's size. */
const SUSPICION_PER_MAGNITUDE_MS = 1000;
/** A round that started this isLate says nothing about others. */
const MAX_LATENESS_MS = 250;
const MAX_TIMEOUT_FACTOR = 8;

/** The task that pings, round after round. */
export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #stopped = new AbortController();
  #pingOrder: readonly string[] = [];
  /** Grows while this daemon itself seems slow; stretches its patience. */
  #timeoutFactor = 1;

  constructor(options: FailureDetectorOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      const dueAtMs = performance.now() + ROUND_INTERVAL_MS;
      await sleep(ROUND_INTERVAL_MS);
      const latenessMs = performance.now() - dueAtMs;
      this.#adjustTimeouts(latenessMs);
      if (signal.aborted) return;
      void this.#round();
      if (latenessMs < MAX_LATENESS_MS) this.#declareDead();
    }
  }

  async #round(): Promise<void> {
    const target = this.#nextTarget();
    if (!target) return;
    const startedAtMs = performance.now();
    if (await this.#ping(target)) return;
    if (await this.#pingIndirectly(target)) return;
    const tookMs = performance.now() - startedAtMs;
    const limitMs =
      PING_TIMEOUT_MS * this.#timeoutFactor + INDIRECT_PING_TIMEOUT_MS;
    if (tookMs > limitMs + MAX_LATENESS_MS) return;
    this.#suspect(target);
  }

  async #ping(target: MemberRecord): Promise<boolean> {
    const {links, view, queue} = this.#options;
    const body = {from: view.self, updates: queue.take()};
    const timeoutMs = PING_TIMEOUT_MS * this.#timeoutFactor;
    try {
      const reply = await links.call(
        target.peersAddress,
        'member.ping',
        body,
        timeoutMs,
      );
      queue.add(view.merge(reply.updates));
      return true;
    } catch {
      return false;
    }
  }

  async #pingIndirectly(target: MemberRecord): Promise<boolean> {
    const {links, view} = this.#options;
    const helpers = this.#shuffle(
      view.others().filter(member => member.id !== target.id),
    ).slice(0, INDIRECT_PING_COUNT);
    const pings = helpers.map(async helper => {
      const reply = await links.call(
        helper.peersAddress,
        'member.pingFor',
        {address: target.peersAddress},
        INDIRECT_PING_TIMEOUT_MS,
      );
      if (!reply.reached) throw new RangeError('not reached');
    });
    return Promise.any(pings).then(
      () => true,
      () => false,
    );
  }

  #suspect(target: MemberRecord): void {
    const {view, queue, log} = this.#options;
    const {id, incarnation, version} = target;
    if (view.get(id)?.status !== 'alive') return;
    log.info(`Member ${id} is suspected.`);
    queue.add(view.merge([{status: 'suspect', id, incarnation, version}]));
  }

  #declareDead(): void {
    const {view, queue, log} = this.#options;
    const growthMs = SUSPICION_PER_MAGNITUDE_MS * Math.log10(view.size);
    const suspicionMs = (MIN_SUSPICION_MS + growthMs) * this.#timeoutFactor;
    const suspectedBeforeMs = performance.now() - suspicionMs;
    view
      .withStatus('suspect')
      .filter(known => known.sinceMs < suspectedBeforeMs)
      .forEach(({record: {id, incarnation, version}}) => {
        log.warn(`Member ${id} is dead.`);
        queue.add(view.merge([{status: 'dead', id, incarnation, version}]));
      });
  }

  #adjustTimeouts(latenessMs: number): void {
    const isLate = latenessMs > MAX_LATENESS_MS;
    const next = isLate ? this.#timeoutFactor * 2 : this.#timeoutFactor / 1.2;
    this.#timeoutFactor = Math.min(MAX_TIMEOUT_FACTOR, Math.max(1, next));
  }

  /** Members in shuffled turns, so that each is pinged once in a while. */
  #nextTarget(): MemberRecord | undefined {
    const {view} = this.#options;
    if (this.#pingOrder.length === 0) {
      this.#pingOrder = this.#shuffle(view.others().map(member => member.id));
    }
    const [id, ...rest] = this.#pingOrder;
    this.#pingOrder = rest;
    const known = id === undefined ? undefined : view.get(id);
    return known?.status === 'dead' ? undefined : known?.record;
  }

  #shuffle<Item>(items: readonly Item[]): readonly Item[] {
    return items
      .map(item => ({item, order: this.#options.random()}))
      .toSorted((a, b) => a.order - b.order)
      .map(({item}) => item);
  }
}
