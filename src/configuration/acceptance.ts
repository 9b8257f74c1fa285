/**
 * Accepts changes of operators: writes them to the store, puts them in force
 * here, tells the peers, and finds out whether the spread is assured.
 */
import type {Logger} from '../log/logger.js';
import type {Vouches} from '../member/generation.js';
import type {ConfigurationKeeper} from './keeper.js';
import type {Spread} from './spread.js';
import type {ChangeOutcome, ChangeRequest, ChangeWriter} from './writer.js';

/** Options of {@link Acceptance}. */
export interface AcceptanceOptions {
  readonly writer: ChangeWriter;
  readonly keeper: ConfigurationKeeper;
  readonly spread: Spread;
  readonly vouches: Pick<Vouches, 'raise'>;
  readonly log: Logger;
}

/** A change that is in the store. */
export interface Accepted extends ChangeOutcome {
  /** Whether a majority of the witnesses vouches for nothing older. */
  readonly assured: boolean;
}

/** The way of every change. */
export class Acceptance {
  readonly #options: AcceptanceOptions;

  constructor(options: AcceptanceOptions) {
    this.#options = options;
  }

  /** Makes a change; throws as {@link ChangeWriter.write} does. */
  async accept(request: ChangeRequest): Promise<Accepted> {
    const {writer, keeper, spread, vouches, log} = this.#options;
    const outcome = await writer.write(request);
    keeper.offer(outcome.state);
    const {revision} = outcome.state;
    spread.compareNow();
    const assured = await vouches.raise({revision}).catch(() => false);
    if (assured) keeper.confirm(revision);
    if (outcome.change && !outcome.repeated) {
      log.info(`${request.by}: ${request.action}, revision ${revision}.`);
    }
    return {...outcome, assured};
  }
}
