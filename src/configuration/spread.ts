/**
 * Spreads the configuration among daemons. A daemon that has a new revision
 * tells a few others at once; besides, each compares revisions with a random
 * other at an interval. Whoever is behind fetches the changes that it lacks,
 * or the shards that differ.
 */
import {Failure, reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import {loadState} from './archive.js';
import {applyChanges} from './changes.js';
import type {ConfigurationKeeper} from './keeper.js';
import type {Comparison} from './messages.js';
import {shardText, type ConfigurationState} from './state.js';

/** Options of {@link Spread}. */
export interface SpreadOptions {
  readonly keeper: ConfigurationKeeper;
  readonly membership: Membership;
  readonly links: Links;
  readonly log: Logger;
}

const COMPARE_INTERVAL_MS = 1000;
const COMPARE_TIMEOUT_MS = 1000;
const SHARD_TIMEOUT_MS = 5000;
const FANOUT = 4;

/** The spread of configuration on one daemon. */
export class Spread {
  readonly #options: SpreadOptions;
  #timer: NodeJS.Timeout | undefined;
  #fetching = false;

  constructor(options: SpreadOptions) {
    this.#options = options;
    const {links, keeper} = options;
    links.handle('configuration.compare', body => {
      if (keeper.wants(body.revision)) void this.#compare(body.address);
      return compareWith(keeper.state(), body.revision);
    });
    links.handle('configuration.shard', ({index, stamp}) => {
      const shard = keeper.state().shards[index];
      if (shard?.stamp !== stamp) return {};
      return {text: shardText(shard)};
    });
    keeper.onRevision(() => this.compareNow());
  }

  start(): void {
    this.#timer = setInterval(() => this.#compareAny(1), COMPARE_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Compares with a few others at once, as after a new revision. */
  compareNow(): void {
    this.#compareAny(FANOUT);
  }

  #compareAny(count: number): void {
    const {membership} = this.#options;
    const self = membership.self().id;
    const others = membership.members().filter(member => member.id !== self);
    pickRandom(others, count).forEach(member => {
      void this.#compare(member.peersAddress);
    });
  }

  async #compare(address: string): Promise<void> {
    const {keeper, links, membership, log} = this.#options;
    try {
      const own = membership.self().peersAddress;
      const reply = await links.call(
        address,
        'configuration.compare',
        {revision: keeper.revision(), address: own},
        COMPARE_TIMEOUT_MS,
      );
      if (keeper.wants(reply.revision)) await this.#fetch(address, reply);
    } catch (err) {
      log.debug(`No comparison with ${address}: ${reasonOf(err)}.`);
    }
  }

  /** Shards are fetched from one daemon at a time. */
  async #fetch(address: string, found: Comparison): Promise<void> {
    const {keeper} = this.#options;
    const byChanges = applyChanges(keeper.state(), found.changes ?? []);
    if (byChanges) return void keeper.offer(byChanges);
    if (!found.stamps || this.#fetching) return;
    this.#fetching = true;
    try {
      keeper.offer(await this.#load(address, found, found.stamps));
    } finally {
      this.#fetching = false;
    }
  }

  #load(
    address: string,
    found: Comparison,
    stamps: readonly string[],
  ): Promise<ConfigurationState> {
    const {keeper, links} = this.#options;
    const {revision, changes = []} = found;
    const head = {revision, stamps: [...stamps], changes: [...changes]};
    return loadState(keeper.state(), head, async (index, stamp) => {
      const body = {index, stamp};
      const kind = 'configuration.shard';
      const reply = await links.call(address, kind, body, SHARD_TIMEOUT_MS);
      if (reply.text !== undefined) return reply.text;
      throw new Failure('shardMissing', {index, stamp});
    });
  }
}

function compareWith(state: ConfigurationState, revision: number): Comparison {
  if (revision >= state.revision) return {revision: state.revision};
  const missing = state.changes.filter(change => change.revision > revision);
  const complete =
    missing.length === state.revision - revision &&
    missing.every(change => change.delta !== undefined);
  if (complete) return {revision: state.revision, changes: missing};
  const stamps = state.shards.map(shard => shard.stamp);
  return {revision: state.revision, stamps, changes: state.changes};
}

function pickRandom<Item>(
  items: readonly Item[],
  count: number,
): readonly Item[] {
  const left = [...items];
  const wanted = Math.min(count, left.length);
  return Array.from({length: wanted}, () => {
    const index = Math.floor(Math.random() * left.length);
    return left.splice(index, 1);
  }).flat();
}
