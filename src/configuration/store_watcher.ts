/**
 * Watches the head in the store. Only a few daemons of each failure domain do
 * so. Every daemon computes them by rendezvous hashing over the membership, so
 * that no election is needed; the others receive changes from their peers.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Vouches} from '../member/generation.js';
import type {Membership} from '../member/membership.js';
import {rankMembers} from '../member/rendezvous.js';
import type {Store} from '../platform/store.js';
import {parseHead, type Head} from './changes.js';
import type {LocalConfiguration} from './local_configuration.js';
import {HEAD_KEY, loadState, readHead, readShardFrom} from './store_reader.js';

/** Options of {@link StoreWatcher}. */
export interface StoreWatcherOptions {
  readonly store: Store;
  readonly configuration: LocalConfiguration;
  readonly membership: Membership;
  readonly vouches: Pick<Vouches, 'raise'>;
  readonly log: Logger;
}

const WATCHERS_PER_FAILURE_DOMAIN = 3;
const WATCH_WAIT_MS = 3000;
const RETRY_PAUSE_MS = 500;
const IDLE_PAUSE_MS = 1000;
const NOTIFY_INTERVAL_MS = 1000;

/** Watches the store while this daemon is one of the watchers. */
export class StoreWatcher {
  readonly #options: StoreWatcherOptions;
  readonly #stopped = new AbortController();
  #notifiedAtMs = -NOTIFY_INTERVAL_MS;

  constructor(options: StoreWatcherOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  /**
   * Notifies the witnesses of the newest revision, at most once per second,
   * because the daemon that wrote it may have crashed before doing so.
   */
  notifyWitnesses(): void {
    const {configuration, vouches} = this.#options;
    const nowMs = performance.now();
    if (nowMs - this.#notifiedAtMs < NOTIFY_INTERVAL_MS || !this.isWatcher())
      return;
    this.#notifiedAtMs = nowMs;
    const revision = configuration.revision();
    vouches.raise({revision}).catch(() => false);
  }

  /** Whether this daemon is one of the watchers of its failure domain. */
  isWatcher(): boolean {
    const {membership} = this.#options;
    const self = membership.self();
    const domainMembers = membership
      .members()
      .filter(member => member.failureDomain === self.failureDomain)
      .filter(member => member.region === self.region);
    return rankMembers('configuration-watcher', domainMembers)
      .slice(0, WATCHERS_PER_FAILURE_DOMAIN)
      .some(member => member.id === self.id);
  }

  async #run(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      if (this.isWatcher()) await this.#watchOnce(signal);
      else await pause(IDLE_PAUSE_MS, signal);
    }
  }

  async #watchOnce(signal: AbortSignal): Promise<void> {
    try {
      await this.#readAndWatch(signal);
    } catch (err) {
      if (signal.aborted) return;
      this.#options.log.warn(
        `Watching the configuration in the store failed: ${reasonOf(err)}.`,
      );
      await pause(RETRY_PAUSE_MS, signal);
    }
  }

  async #readAndWatch(signal: AbortSignal): Promise<void> {
    const {store} = this.#options;
    const {head, version} = await readHead(store);
    await this.#loadIfNewer(head);
    const watched = await store.watch(HEAD_KEY, version, WATCH_WAIT_MS, signal);
    const value = watched.events.at(-1)?.value;
    if (value !== undefined) await this.#loadIfNewer(parseHead(value));
  }

  /** Loads what a head names, unless it is no newer than the loaded state. */
  async #loadIfNewer(head: Head): Promise<void> {
    const {store, configuration} = this.#options;
    if (!configuration.isNewer(head.revision)) return;
    const read = readShardFrom(store);
    configuration.update(await loadState(configuration.state(), head, read));
  }
}

async function pause(ms: number, signal: AbortSignal): Promise<void> {
  await sleep(ms, undefined, {signal}).catch(() => undefined);
}
