/**
 * Keeps the newest configuration that this daemon has seen. The revision
 * only grows: an older one from any source is dropped.
 */
import type {Logger} from '../log/logger.js';
import {
  mayEnforce,
  mayReplace,
  type VouchedRevisions,
} from './revision_rules.js';
import {EMPTY_STATE, type ConfigurationState} from './state.js';
import {EMPTY_TABLES, PackedTables, type Tables} from './tables.js';

const MAX_PENDING = 16;

/** Told of each revision that was loaded. */
export type RevisionListener = (revision: number) => void;

/**
 * The configuration of this daemon. A revision comes into force only once it
 * is vouched for: from then on a majority of the witnesses knows it, so that
 * no restart, stale peer or lagging store can bring an older one back. Until
 * then a loaded state waits.
 */
export class LocalConfiguration {
  readonly #log: Logger;
  readonly #listeners: RevisionListener[] = [];
  #state: ConfigurationState = EMPTY_STATE;
  #tables: Tables = EMPTY_TABLES;
  /** Loaded but not yet vouched for, the oldest first. */
  #pending: readonly ConfigurationState[] = [];
  #vouched: VouchedRevisions | undefined;

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
  isNewer(revision: number): boolean {
    return mayReplace(this.#state.revision, revision);
  }

  /** Takes a state if it is newer than the one that was loaded. */
  update(state: ConfigurationState): boolean {
    if (!this.isNewer(state.revision)) return false;
    this.#state = state;
    // The oldest stay, so that a steady flow of changes can't starve them.
    this.#pending = [...this.#pending.slice(0, MAX_PENDING - 1), state];
    this.#enforce();
    this.#listeners.forEach(listener => listener(state.revision));
    return true;
  }

  /** Tells up to which revision a majority of the witnesses vouches. */
  confirm(vouchedRevision: number): void {
    const {floor, highest} = this.#vouched ?? {
      floor: vouchedRevision,
      highest: -1,
    };
    if (vouchedRevision <= highest) return;
    this.#vouched = {floor, highest: vouchedRevision};
    this.#enforce();
  }

  #enforce(): void {
    const next = this.#pending
      .filter(state => mayEnforce(state.revision, this.#vouched))
      .at(-1);
    if (!next) return;
    this.#pending = this.#pending.filter(s => s.revision > next.revision);
    this.#tables = new PackedTables(next);
    this.#log.info(`Revision ${next.revision} is in force.`);
  }
}
