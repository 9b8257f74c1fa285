/**
 * Keeps the newest configuration that this daemon has seen. The revision
 * only grows: an older one from any source is dropped.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import {reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Store} from '../platform/store.js';
import {readSnapshot, type Snapshot} from './snapshot.js';
import {EMPTY_TABLES, MapTables, type Tables} from './tables.js';

const WATCH_WAIT_MS = 10_000;
const RETRY_PAUSE_MS = 500;

/** Follows the store and holds the tables of the newest revision. */
export class ConfigurationKeeper {
  readonly #store: Store;
  readonly #log: Logger;
  readonly #stopped = new AbortController();
  #tables: Tables = EMPTY_TABLES;
  #snapshot: Snapshot = {revision: 0, records: []};

  constructor(store: Store, log: Logger) {
    this.#store = store;
    this.#log = log;
  }

  start(): void {
    void this.#follow();
  }

  stop(): void {
    this.#stopped.abort();
  }

  tables(): Tables {
    return this.#tables;
  }

  snapshot(): Snapshot {
    return this.#snapshot;
  }

  /** Takes in a snapshot if it is newer than the one in force. */
  offer(snapshot: Snapshot): void {
    if (snapshot.revision <= this.#snapshot.revision) return;
    this.#snapshot = snapshot;
    this.#tables = new MapTables(snapshot.revision, snapshot.records);
    this.#log.info(`Revision ${snapshot.revision} is in force.`);
  }

  async #follow(): Promise<void> {
    const {signal} = this.#stopped;
    while (!signal.aborted) {
      await this.#round(signal).catch(async (err: unknown) => {
        if (signal.aborted) return;
        this.#log.warn(`The store did not answer: ${reasonOf(err)}.`);
        await sleep(RETRY_PAUSE_MS);
      });
    }
  }

  async #round(signal: AbortSignal): Promise<void> {
    const {snapshot, version} = await readSnapshot(this.#store);
    this.offer(snapshot);
    await this.#store.watch('configuration/', version, WATCH_WAIT_MS, signal);
  }
}
