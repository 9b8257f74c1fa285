/**
 * Holds the configuration of this daemon. The revision only grows: an older
 * revision from any source is ignored.
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

/** Called with each revision that was loaded. */
export type RevisionListener = (revision: number) => void;

/**
 * The newest loaded state and the revision in force. A loaded state stays
 * pending until the witnesses vouch for its revision. From then on a majority
 * of them knows the revision, so that no restart, stale peer or lagging store
 * can bring an older one back.
 */
export class LocalConfiguration {
  readonly #log: Logger;
  readonly #listeners: RevisionListener[] = [];
  #state: ConfigurationState = EMPTY_STATE;
  #tables: Tables = EMPTY_TABLES;
  /** States that are loaded but not yet vouched for, oldest first. */
  #pending: readonly ConfigurationState[] = [];
  #vouched: VouchedRevisions | undefined;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** The tables in force; of revision 0 until the first one is in force. */
  tables(): Tables {
    return this.#tables;
  }

  /** The newest loaded state. */
  state(): ConfigurationState {
    return this.#state;
  }

  /** The revision of the newest loaded state. */
  revision(): number {
    return this.#state.revision;
  }

  /** Calls `listener` after each revision has been loaded. */
  onRevision(listener: RevisionListener): void {
    this.#listeners.push(listener);
  }

  /** Whether this revision is newer than the newest loaded state. */
  isNewer(revision: number): boolean {
    return mayReplace(this.#state.revision, revision);
  }

  /** Loads a state if it is newer; returns whether it was. */
  update(state: ConfigurationState): boolean {
    if (!this.isNewer(state.revision)) return false;
    this.#state = state;
    // Keeps the oldest: under a steady flow of changes, the vouched revision
    // would otherwise be evicted each time before it comes into force.
    this.#pending = [...this.#pending.slice(0, MAX_PENDING - 1), state];
    this.#enforce();
    this.#listeners.forEach(listener => listener(state.revision));
    return true;
  }

  /** Records the revision that a majority of the witnesses vouches for. */
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
