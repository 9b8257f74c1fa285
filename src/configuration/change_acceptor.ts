/**
 * Accepts an operator's change: writes it to the store, loads it on this
 * daemon, sends it to peers by gossip, and asks the witnesses to vouch for the
 * new revision, which assures that it reaches every daemon.
 */
import type {Logger} from '../log/logger.js';
import type {Vouches} from '../member/generation.js';
import type {
  ChangeOutcome,
  ChangeRequest,
  ChangeWriter,
} from './change_writer.js';
import type {ConfigurationGossip} from './gossip.js';
import type {LocalConfiguration} from './local_configuration.js';

/** Options of {@link ChangeAcceptor}. */
export interface ChangeAcceptorOptions {
  readonly writer: ChangeWriter;
  readonly configuration: LocalConfiguration;
  readonly gossip: ConfigurationGossip;
  readonly vouches: Pick<Vouches, 'raise'>;
  readonly log: Logger;
}

/** A change that was written to the store. */
export interface AcceptedChange extends ChangeOutcome {
  /** Whether a majority of the witnesses no longer vouches for older ones. */
  readonly assured: boolean;
}

/** Writes operators' changes and distributes them. */
export class ChangeAcceptor {
  readonly #options: ChangeAcceptorOptions;

  constructor(options: ChangeAcceptorOptions) {
    this.#options = options;
  }

  /** Writes and distributes a change; throws as {@link ChangeWriter.write}. */
  async accept(request: ChangeRequest): Promise<AcceptedChange> {
    const {writer, configuration, gossip, vouches, log} = this.#options;
    const outcome = await writer.write(request);
    configuration.update(outcome.state);
    const {revision} = outcome.state;
    gossip.compareNow();
    const assured = await vouches.raise({revision}).catch(() => false);
    if (assured) configuration.confirm(revision);
    if (outcome.change && !outcome.repeated) {
      log.info(`${request.by}: ${request.action}, revision ${revision}.`);
    }
    return {...outcome, assured};
  }
}
