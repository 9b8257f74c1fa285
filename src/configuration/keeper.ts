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

/** The configuration in force on this daemon. */
export class ConfigurationKeeper {
  readonly #log: Logger;
  readonly #listeners: RevisionListener[] = [];
  #state: ConfigurationState = EMPTY_STATE;
  #tables: Tables = EMPTY_TABLES;

  constructor(log: Logger) {
    this.#log = log;
  }

  tables(): Tables {
    return this.#tables;
  }

  state(): ConfigurationState {
    return this.#state;
  }

  revision(): number {
    return this.#state.revision;
  }

  /** Calls `listener` after each revision that comes into force. */
  onRevision(listener: RevisionListener): void {
    this.#listeners.push(listener);
  }

  /** Puts a state in force if it is newer than the one in force. */
  offer(state: ConfigurationState): boolean {
    if (!mayReplace(this.#state.revision, state.revision)) return false;
    this.#state = state;
    this.#tables = new MapTables(state.revision, allRecords(state));
    this.#log.info(`Revision ${state.revision} is in force.`);
    this.#listeners.forEach(listener => listener(state.revision));
    return true;
  }
}
