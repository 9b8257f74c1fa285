/**
 * Keeps the newest configuration that this daemon has seen. The revision
 * only grows: an older one from any source is dropped.
 */
import type {Logger} from '../log/logger.js';
import {mayReplace} from './forward.js';
import {allRecords, EMPTY_STATE, type ConfigurationState} from './state.js';
import {EMPTY_TABLES, MapTables, type Tables} from './tables.js';

/** Told of each revision that comes into force. */
export type RevisionListener = (revision: number) => void;

/**
 * The configuration of this daemon. A process that has just started may only
 * find an old revision, while a newer one was in force here before: nothing
 * comes into force until the loaded revision is vouched for.
 */
export class ConfigurationKeeper {
  readonly #log: Logger;
  readonly #listeners: RevisionListener[] = [];
  #state: ConfigurationState = EMPTY_STATE;
  #tables: Tables = EMPTY_TABLES;
  #isConfirmed = false;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** What is in force; revision 0 until the first one is. */
  tables(): Tables {
    return this.#tables;
  }

  /** The newest state that was loaded. */
  state(): ConfigurationState {
    return this.#state;
  }

  /** Revision of the newest state that was loaded. */
  revision(): number {
    return this.#state.revision;
  }

  /** Calls `listener` after each revision that was loaded. */
  onRevision(listener: RevisionListener): void {
    this.#listeners.push(listener);
  }

  /** Whether a state of this revision would be taken. */
  wants(revision: number): boolean {
    return mayReplace(this.#state.revision, revision);
  }

  /** Takes a state if it is newer than the one that was loaded. */
  offer(state: ConfigurationState): boolean {
    if (!this.wants(state.revision)) return false;
    this.#state = state;
    if (this.#isConfirmed) this.#enforce();
    this.#listeners.forEach(listener => listener(state.revision));
    return true;
  }

  /** Tells which revision is vouched for, so that it may come into force. */
  confirm(vouchedRevision: number): void {
    if (this.#isConfirmed || this.#state.revision < vouchedRevision) return;
    this.#isConfirmed = true;
    this.#enforce();
  }

  #enforce(): void {
    const {revision} = this.#state;
    if (revision === 0) return;
    this.#tables = new MapTables(revision, allRecords(this.#state));
    this.#log.info(`Revision ${revision} is in force.`);
  }
}
