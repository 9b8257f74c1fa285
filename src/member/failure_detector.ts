/**
 * SWIM failure detector. Each round pings one member, in shuffled order. If the
 * member doesn't answer, other members ping it on this daemon's behalf, since a
 * network may lose packets in one direction only. A member that none of them
 * reaches is marked as suspect, and as dead unless it refutes the suspicion in
 * time. Rounds that ran late don't count and lengthen the timeouts: the cause
 * may be that this daemon itself was paused or is slow.
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
/** Added to the suspicion timeout for each power of ten of the fleet's size. */
const SUSPICION_PER_MAGNITUDE_MS = 1000;
/** The results of a round that started later than this are ignored. */
const MAX_LATENESS_MS = 250;
const MAX_TIMEOUT_FACTOR = 8;

/** Pings members at a fixed interval and marks those that failed. */
export class FailureDetector {
  readonly #options: FailureDetectorOptions;
  readonly #stopped = new AbortController();
  #pingOrder: readonly string[] = [];
  /** Multiplies timeouts; grows while this daemon's own rounds run late. */
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
    // The queue may have stopped sending a claim before its subject got it.
    const updates = [...view.claimsAbout(target.id), ...queue.take()];
    const body = {from: view.self, updates};
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

  /** Takes members from a shuffled list, so that each is pinged regularly. */
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
