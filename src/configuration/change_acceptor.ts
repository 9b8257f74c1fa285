/**
 * Accepts changes of operators: writes them to the store, puts them in force
 * here, tells the peers, and finds out whether the spread is assured.
 */
import type {Logger} from '../log/logger.js';
import type {Vouches} from '../member/generation.js';
import type {LocalConfiguration} from './local_configuration.js';
import type {ConfigurationGossip} from './gossip.js';
import type {
  ChangeOutcome,
  ChangeRequest,
  ChangeWriter,
} from './change_writer.js';

/** Options of {@link ChangeAcceptor}. */
export interface ChangeAcceptorOptions {
  readonly writer: ChangeWriter;
  readonly configuration: LocalConfiguration;
  readonly gossip: ConfigurationGossip;
  readonly vouches: Pick<Vouches, 'raise'>;
  readonly log: Logger;
}

/** A change that is in the store. */
export interface AcceptedChange extends ChangeOutcome {
  /** Whether a majority of the witnesses vouches for nothing older. */
  readonly assured: boolean;
}

/** The way of every change. */
export class ChangeAcceptor {
  readonly #options: ChangeAcceptorOptions;

  constructor(options: ChangeAcceptorOptions) {
    this.#options = options;
  }

  /** Makes a change; throws as {@link ChangeWriter.write} does. */
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
