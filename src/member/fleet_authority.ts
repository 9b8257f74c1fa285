/**
 * Creates, starts and stops the parts by which daemons agree on generations,
 * which are numbered lists of the fleet's members: the tracker of the newest
 * generation, the witness, the vouch collector and the writer.
 */
import type {Logger} from '../log/logger.js';
import type {Store} from '../platform/store.js';
import {GenerationTracker} from './generation_tracker.js';
import {GenerationWriter, readGeneration} from './generation_writer.js';
import type {Links} from './links.js';
import type {Membership} from './membership.js';
import {VouchCollector} from './vouch_collector.js';
import {Witness} from './witness.js';
import {WitnessCalls} from './witness_calls.js';

/** Options of {@link FleetAuthority}. */
export interface FleetAuthorityOptions {
  readonly store: Store;
  readonly links: Links;
  readonly membership: Membership;
  readonly log: Logger;
  /** The newest accepted revision; throws `storeUnavailable`. */
  readonly readRevision: () => Promise<number>;
}

/** The generations and vouches of one daemon. */
export class FleetAuthority {
  readonly generations: GenerationTracker;
  readonly vouches: VouchCollector;
  readonly #witness: Witness;
  readonly #writer: GenerationWriter;

  constructor(options: FleetAuthorityOptions) {
    const {store, links, membership, log, readRevision} = options;
    const tracker = new GenerationTracker(log);
    const calls = new WitnessCalls({links, self: membership.self()});
    this.generations = tracker;
    this.vouches = new VouchCollector({tracker, calls, links, membership, log});
    this.#witness = new Witness({
      tracker,
      calls,
      links,
      log,
      readStore: async () => {
        const revision = await readRevision();
        const {generation} = await readGeneration(store);
        return {generation, revision};
      },
    });
    const {vouches} = this;
    this.#writer = new GenerationWriter({
      store,
      tracker,
      vouches,
      membership,
      log,
    });
  }

  start(): void {
    this.#witness.start();
    this.vouches.start();
    this.#writer.start();
  }

  stop(): void {
    this.#writer.stop();
    this.vouches.stop();
    this.#witness.stop();
  }
}
