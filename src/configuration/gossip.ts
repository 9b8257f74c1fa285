/**
 * Distributes the configuration among daemons by gossip. A daemon that has
 * loaded a new revision compares revisions with a few random peers at once;
 * in addition, every daemon periodically compares with one random peer. The
 * daemon that is behind fetches the missing changes or the differing shards.
 */
import {Failure, reasonOf} from '../errors/failure.js';
import type {Logger} from '../log/logger.js';
import type {Links} from '../member/links.js';
import type {Membership} from '../member/membership.js';
import {applyChanges} from './changes.js';
import type {LocalConfiguration} from './local_configuration.js';
import type {Comparison} from './messages.js';
import {shardText, type ConfigurationState} from './state.js';
import {loadState} from './store_reader.js';

/** Options of {@link ConfigurationGossip}. */
export interface ConfigurationGossipOptions {
  readonly configuration: LocalConfiguration;
  readonly membership: Membership;
  readonly links: Links;
  readonly log: Logger;
}

const COMPARE_INTERVAL_MS = 1000;
const COMPARE_TIMEOUT_MS = 1000;
const SHARD_TIMEOUT_MS = 5000;
const FANOUT = 4;

/** Exchanges the configuration of one daemon with its peers. */
export class ConfigurationGossip {
  readonly #options: ConfigurationGossipOptions;
  #timer: NodeJS.Timeout | undefined;
  #isFetching = false;

  constructor(options: ConfigurationGossipOptions) {
    this.#options = options;
    const {links, configuration} = options;
    links.handle('configuration.compare', body => {
      if (configuration.isNewer(body.revision))
        void this.#compare(body.address);
      return buildComparison(configuration.state(), body.revision);
    });
    links.handle('configuration.shard', ({index, stamp}) => {
      const shard = configuration.state().shards[index];
      if (shard?.stamp !== stamp) return {};
      return {text: shardText(shard)};
    });
    configuration.onRevision(() => this.compareNow());
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#compareWithRandom(1),
      COMPARE_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Compares revisions with {@link FANOUT} random peers immediately. */
  compareNow(): void {
    this.#compareWithRandom(FANOUT);
  }

  #compareWithRandom(count: number): void {
    const {membership} = this.#options;
    const self = membership.self().id;
    const others = membership.members().filter(member => member.id !== self);
    pickRandom(others, count).forEach(member => {
      void this.#compare(member.peersAddress);
    });
  }

  async #compare(address: string): Promise<void> {
    const {configuration, links, membership, log} = this.#options;
    try {
      const own = membership.self().peersAddress;
      const reply = await links.call(
        address,
        'configuration.compare',
        {revision: configuration.revision(), address: own},
        COMPARE_TIMEOUT_MS,
      );
      if (configuration.isNewer(reply.revision))
        await this.#fetch(address, reply);
    } catch (err) {
      log.debug(
        `Comparing configuration with ${address} failed: ${reasonOf(err)}.`,
      );
    }
  }

  /** Fetches missing changes, or shards from one daemon at a time. */
  async #fetch(address: string, found: Comparison): Promise<void> {
    const {configuration} = this.#options;
    const byChanges = applyChanges(configuration.state(), found.changes ?? []);
    if (byChanges) return void configuration.update(byChanges);
    if (!found.stamps || this.#isFetching) return;
    this.#isFetching = true;
    try {
      configuration.update(await this.#load(address, found, found.stamps));
    } finally {
      this.#isFetching = false;
    }
  }

  #load(
    address: string,
    found: Comparison,
    stamps: readonly string[],
  ): Promise<ConfigurationState> {
    const {configuration, links} = this.#options;
    const {revision, changes = []} = found;
    const head = {revision, stamps: [...stamps], changes: [...changes]};
    return loadState(configuration.state(), head, async (index, stamp) => {
      const body = {index, stamp};
      const kind = 'configuration.shard';
      const reply = await links.call(address, kind, body, SHARD_TIMEOUT_MS);
      if (reply.text !== undefined) return reply.text;
      throw new Failure('shardMissing', {index, stamp});
    });
  }
}

function buildComparison(
  state: ConfigurationState,
  revision: number,
): Comparison {
  if (revision >= state.revision) return {revision: state.revision};
  const missing = state.changes.filter(change => change.revision > revision);
  const isComplete =
    missing.length === state.revision - revision &&
    missing.every(change => change.delta !== undefined);
  if (isComplete) return {revision: state.revision, changes: missing};
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
